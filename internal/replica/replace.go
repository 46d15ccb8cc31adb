package replica

import (
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// replaceAfterTicks is how long a voter must be silent to count as replaced.
	// It is well above a cut of some seconds.
	replaceAfterTicks = 200
	// minVotersLeft is the least number of live voters that a removal may leave.
	minVotersLeft = 3
	// rejoinAfterTicks is how long a replica goes without a leader until it asks
	// to be admitted, in case it was removed meanwhile.
	rejoinAfterTicks = 100
)

// replacedVoter returns a voter that another one has taken the place of, nil if
// there is none. Voters that joined at new addresses and have not made up for a
// removal yet are the successors of silent ones, as long as there are no more
// silent voters than successors: which of them were replaced is not known then.
// silence returns for how long a member has been silent.
func replacedVoter(m *pb.Membership, silence func(id string) time.Duration, after time.Duration) *pb.Member {
	var silent []*pb.Member
	live, successors := 0, int(m.GetJoined())
	for _, member := range m.GetMembers() {
		switch {
		case member.Learner:
			// It may be one of those that joined.
			successors--
		case silence(member.Id) >= after:
			silent = append(silent, member)
		default:
			live++
		}
	}
	if len(silent) == 0 || len(silent) > successors || live < minVotersLeft {
		return nil
	}
	return silent[0]
}

// removeReplaced removes a voter whose machine was replaced, one at a time.
func (n *Node) removeReplaced(current *pb.Membership) {
	if !n.cfg.OpenAdmission {
		return
	}
	gone := replacedVoter(current, n.silentFor, replaceAfterTicks*n.cfg.TickInterval)
	if gone == nil {
		return
	}
	next := withoutMember(current, gone.Id)
	if _, _, err := n.core.ProposeMembership(next, n.now().UnixMilli()); err != nil {
		n.logEvent(log.WarnLevel, "remove replica").Err(err).Str("removed", gone.Id).Msg("a replaced replica was not removed")
		return
	}
	n.logEvent(log.InfoLevel, "remove replica").Str("removed", gone.Id).Str("removed_addr", gone.Addr).
		Dur("silent", n.silentFor(gone.Id)).Msg("a silent replica is removed, since another has joined")
}

// silentFor is how long nothing was heard of a member, counted from the start of
// this node's leadership at the earliest.
func (n *Node) silentFor(id string) time.Duration {
	if id == n.id {
		return 0
	}
	since := n.peers.lastHeard[id]
	if n.leaderSince.After(since) {
		since = n.leaderSince
	}
	return n.now().Sub(since)
}

// recordLeadership keeps when this node last became the leader.
func (n *Node) recordLeadership() {
	leading := n.core.Role() == consensus.Leader
	switch {
	case !leading:
		n.leaderSince = time.Time{}
	case n.leaderSince.IsZero():
		n.leaderSince = n.now()
	}
}

// leaderless tells whether no leader has been known for so long that this
// replica may have been removed.
func (n *Node) leaderless() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.status.Leader != "" {
		n.leaderSeenAt = n.now()
	}
	return n.now().Sub(n.leaderSeenAt) > rejoinAfterTicks*n.cfg.TickInterval
}
