package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

var (
	// ErrUnknownReplica means that no member has this ID or address.
	ErrUnknownReplica = errors.New("no such replica")
	// ErrWrongIdentity means that the replica at the address has another ID.
	ErrWrongIdentity = errors.New("a replica with another ID answers at this address")
	// ErrQuorumAtRisk means that the removal would leave a membership in which
	// fewer than a majority of the voters are live.
	ErrQuorumAtRisk = errors.New("the remaining replicas would have no live quorum")
)

// changeRetryInterval is the pause between two attempts at a membership change
// while an earlier change is not committed yet.
const changeRetryInterval = 100 * time.Millisecond

// membershipEdit returns the membership that follows current, or nil if no change
// is needed.
type membershipEdit func(current *pb.Membership) (*pb.Membership, error)

// membershipChange is a request to the loop goroutine to apply edit to the current
// membership and to propose the result.
type membershipChange struct {
	edit membershipEdit
	// proposed receives the error of the edit or the proposal, or nil.
	proposed chan error
	// committed receives the outcome of the proposed entry. It is closed if edit
	// returns an error or requires no change.
	committed chan outcome
}

// handleChange proposes a membership change. c.committed receives the outcome once
// the entry is applied, ErrNotLeader if an entry of another term was committed at
// its index, and ErrOutcomeUnknown if this replica can no longer learn the outcome.
func (n *Node) handleChange(c *membershipChange) {
	if n.core.Role() != consensus.Leader {
		c.proposed <- ErrNotLeader
		return
	}
	current, _ := n.core.Membership()
	next, err := c.edit(current)
	if err != nil || next == nil {
		close(c.committed)
		c.proposed <- err
		return
	}
	index, term, err := n.core.ProposeMembership(next, n.now().UnixMilli())
	if err != nil {
		c.proposed <- err
		return
	}
	n.waiters.add(Position{Term: term, Index: index}, c.committed)
	c.proposed <- nil
}

// changeMembership makes one membership change and waits until it is committed.
// It retries while an earlier change is not committed.
func (n *Node) changeMembership(ctx context.Context, edit membershipEdit) error {
	for {
		err := n.tryChangeMembership(ctx, edit)
		if !errors.Is(err, consensus.ErrMembershipPending) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.done:
			return ErrNotLeader
		case <-time.After(changeRetryInterval):
		}
	}
}

func (n *Node) tryChangeMembership(ctx context.Context, edit membershipEdit) error {
	if !n.running() {
		return ErrNotLeader
	}
	c := &membershipChange{edit: edit, proposed: make(chan error, 1), committed: make(chan outcome, 1)}
	select {
	case n.membershipChanges <- c:
	default:
		return ErrOverloaded
	}
	select {
	case err := <-c.proposed:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return errors.Join(ErrOutcomeUnknown, ctx.Err())
	case <-n.done:
		return ErrNotLeader
	}
	select {
	case o := <-c.committed:
		return o.err
	case <-ctx.Done():
		return errors.Join(ErrOutcomeUnknown, ctx.Err())
	case <-n.done:
		return ErrOutcomeUnknown
	}
}

// admit adds member as a learner and waits until the change is committed.
func (n *Node) admit(ctx context.Context, member *pb.Member, allowNewAddr bool) error {
	return n.changeMembership(ctx, admitEdit(member, n.currentStatus().Committed, allowNewAddr))
}

// admitEdit returns the edit that adds member as a learner. The learner must sync
// all entries up to joinIndex before it becomes a voter. If a member has the same
// address and another ID, that member has lost its directory. The edit then replaces
// the member in the same entry, so that a leader change cannot leave the cluster
// between the removal and the admission. Unless allowNewAddr is set, the edit admits
// only such a replacement.
//
// member.Learner marks a replica that takes part in the first start of the cluster: it
// joins at a new address, but succeeds no other one.
func admitEdit(member *pb.Member, joinIndex uint64, allowNewAddr bool) membershipEdit {
	return func(current *pb.Membership) (*pb.Membership, error) {
		if consensus.FindMember(current, member.Id) != nil {
			return nil, nil
		}
		rest := slices.DeleteFunc(slices.Clone(current.Members), func(m *pb.Member) bool { return m.Addr == member.Addr })
		if len(rest) == len(current.Members) && !allowNewAddr {
			return nil, errs.Wrap(ErrUnknownReplica, "admit replica", member.Addr)
		}
		learner := &pb.Member{Id: member.Id, Addr: member.Addr, DataCentre: member.DataCentre, Learner: true, JoinIndex: joinIndex}
		next := consensus.NewMembership(append(rest, learner)...)
		next.Joined = current.Joined
		if len(rest) == len(current.Members) && !member.Learner {
			next.Joined++
		}
		return next, nil
	}
}

// withoutMember returns the membership without one member. It decrements Joined,
// which counts the members that joined at new addresses, minus the removals since,
// and is never less than 0.
func withoutMember(current *pb.Membership, id string) *pb.Membership {
	next := proto.CloneOf(current)
	next.Members = slices.DeleteFunc(next.Members, func(m *pb.Member) bool { return m.Id == id })
	if next.Joined > 0 {
		next.Joined--
	}
	return next
}

// reconcileMembers makes a learner a voter once it has synced the entry that
// admitted it and all entries that were committed at the time of its request. If
// there is no such learner, it removes a replaced voter.
func (n *Node) reconcileMembers() {
	if n.core.Role() != consensus.Leader {
		return
	}
	current, committed := n.core.Membership()
	if !committed || !n.core.CommittedInTerm() {
		return
	}
	match := n.core.Status().Match
	for i, m := range current.Members {
		if !m.Learner || match[m.Id] < max(m.JoinIndex, n.core.MembershipIndex()) {
			continue
		}
		next := proto.CloneOf(current)
		next.Members[i].Learner = false
		if _, _, err := n.core.ProposeMembership(next, n.now().UnixMilli()); err == nil {
			n.logEvent(log.InfoLevel, "promote replica").Str("promoted", m.Id).Msg("a learner becomes a voter")
		}
		return
	}
	n.removeReplaced(current)
}

// AddReplica implements RaftNode. The replica must reply at addr and have an empty log.
// If id is empty, AddReplica uses the ID that the replica reports. It returns once
// the entry that admits the replica as a learner is committed.
func (n *Node) AddReplica(ctx context.Context, id, addr, dataCentre string) error {
	return errs.Wrap(n.addReplica(ctx, id, addr, dataCentre), "add replica", addr)
}

func (n *Node) addReplica(ctx context.Context, id, addr, dataCentre string) error {
	if role := n.currentStatus().Role; role != consensus.Leader {
		return ErrNotLeader
	}
	reply, err := n.callHello(addr)
	if err != nil {
		return err
	}
	if id != "" && reply.Id != id {
		return ErrWrongIdentity
	}
	if voter, learner := n.memberState(reply.Id); voter || learner {
		return nil
	}
	if reply.State != pb.FormationState_FORMATION_STATE_EMPTY {
		return fmt.Errorf("the replica %s holds a log already", reply.Id)
	}
	if dataCentre == "" {
		dataCentre = reply.DataCentre
	}
	return n.admit(ctx, &pb.Member{Id: reply.Id, Addr: addr, DataCentre: dataCentre}, true)
}

// RemoveReplica implements RaftNode. It fails with ErrQuorumAtRisk if the remaining
// membership would have no live quorum.
func (n *Node) RemoveReplica(ctx context.Context, id string) error {
	return errs.Wrap(n.changeMembership(ctx, n.removeEdit(id)), "remove replica", id)
}

func (n *Node) removeEdit(id string) membershipEdit {
	return func(current *pb.Membership) (*pb.Membership, error) {
		if consensus.FindMember(current, id) == nil {
			return nil, ErrUnknownReplica
		}
		next := withoutMember(current, id)
		if !n.quorumAlive(next) {
			return nil, ErrQuorumAtRisk
		}
		return next, nil
	}
}

// quorumAlive reports whether this replica received a message from a majority of
// the voters of m, itself included, within an election timeout.
func (n *Node) quorumAlive(m *pb.Membership) bool {
	aliveWithin := electionTicks * n.cfg.TickInterval
	voters, alive := 0, 0
	for _, member := range m.Members {
		if member.Learner {
			continue
		}
		voters++
		if member.Id == n.id || n.now().Sub(n.peers.lastHeard[member.Id]) < aliveWithin {
			alive++
		}
	}
	return 2*alive > voters
}

func (n *Node) memberState(id string) (voter, learner bool) {
	m := consensus.FindMember(n.currentStatus().membership, id)
	if m == nil {
		return false, false
	}
	return !m.Learner, m.Learner
}
