package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// replaceAfterTicks is how long a voter must be silent, in tick intervals, before
	// it may count as replaced. With the default tick interval this is 2 s. Together
	// with an election it must fit in the time after which the platform counts the
	// successor and no longer the replaced replica, since the next one may be lost
	// then.
	replaceAfterTicks = 40
	// ambiguousTicks is the difference in silence, in tick intervals, below which it is
	// unknown which of two silent voters was replaced.
	ambiguousTicks = 10
	// minVotersLeft is the least number of live voters that the removal of a
	// replaced voter may leave.
	minVotersLeft = 3
	// rejoinAfterTicks is how long a replica knows no leader, in tick intervals,
	// before it sends join requests, in case it was removed. With the default tick
	// interval this is 2 s.
	rejoinAfterTicks = 40
)

// replacedVoter returns a silent voter that a new replica has replaced, or nil. A
// voter is silent if silentFor returns at least after for its ID.
//
// m.Joined counts the members that joined a running cluster at new addresses, minus
// the removals since. Without the learners, the rest are successors: each replaces
// one silent voter. If there are more silent voters than successors, those that have
// been silent longest count as replaced; if that is no difference of ambiguous, it is
// unknown which ones were, and replacedVoter returns nil. It also returns nil if fewer
// than minVotersLeft voters are live.
//
// Each removal uses up one successor, so there are never fewer voters than the cluster
// was formed with. A voter that is removed although it was only cut off joins again,
// which makes it the successor of the replaced one.
func replacedVoter(m *pb.Membership, silentFor func(id string) time.Duration, after, ambiguous time.Duration) *pb.Member {
	var silent []*pb.Member
	live, successors := 0, int(m.GetJoined())
	for _, member := range m.GetMembers() {
		switch {
		case member.Learner:
			// The learner may be one of the members that Joined counts.
			successors--
		case silentFor(member.Id) >= after:
			silent = append(silent, member)
		default:
			live++
		}
	}
	if len(silent) == 0 || successors <= 0 || live < minVotersLeft {
		return nil
	}
	slices.SortStableFunc(silent, func(a, b *pb.Member) int { return cmp.Compare(silentFor(b.Id), silentFor(a.Id)) })
	if len(silent) > successors && silentFor(silent[0].Id)-silentFor(silent[successors].Id) < ambiguous {
		return nil
	}
	return silent[0]
}

// removeReplaced proposes the removal of one replaced voter, if there is one and
// open admission is on.
func (n *Node) removeReplaced(current *pb.Membership) {
	if !n.cfg.OpenAdmission {
		return
	}
	replaced := replacedVoter(current, n.silentFor, replaceAfterTicks*n.cfg.TickInterval, ambiguousTicks*n.cfg.TickInterval)
	if replaced == nil {
		return
	}
	next := withoutMember(current, replaced.Id)
	if _, _, err := n.core.ProposeMembership(next, n.now().UnixMilli()); err != nil {
		n.logEvent(log.WarnLevel, "remove replica").Err(err).Str("removed", replaced.Id).Msg("could not propose the removal of a replaced replica")
		return
	}
	n.logEvent(log.InfoLevel, "remove replica").Str("removed", replaced.Id).Str("removed_addr", replaced.Addr).
		Dur("silent", n.silentFor(replaced.Id)).Msg("a silent replica is removed, since another has joined")
}

// silentFor returns the time since the last message from a member, or since this
// node became the leader if that is shorter.
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

// recordLeadership records when this node became the leader.
func (n *Node) recordLeadership() {
	leading := n.core.Role() == consensus.Leader
	switch {
	case !leading:
		n.leaderSince = time.Time{}
	case n.leaderSince.IsZero():
		n.leaderSince = n.now()
	}
}

// leaderless reports whether this replica has known no leader for more than
// rejoinAfterTicks, so that the cluster may have removed it.
func (n *Node) leaderless() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.status.Leader != "" {
		n.leaderSeenAt = n.now()
	}
	return n.now().Sub(n.leaderSeenAt) > rejoinAfterTicks*n.cfg.TickInterval
}
