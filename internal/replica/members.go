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
	// ErrUnknownReplica means that no member has this id or address.
	ErrUnknownReplica = errors.New("no such replica")
	// ErrWrongIdentity means that an address answers under another identity.
	ErrWrongIdentity = errors.New("another replica answers at this address")
	// ErrQuorumAtRisk means that a removal would leave no live quorum.
	ErrQuorumAtRisk = errors.New("the remaining replicas would have no live quorum")
)

// changeRetryInterval lies between two tries while an earlier change is not
// committed.
const changeRetryInterval = 100 * time.Millisecond

// membershipEdit makes the next membership of the present one. Nil means that
// nothing is left to change.
type membershipEdit func(current *pb.Membership) (*pb.Membership, error)

// membershipChange is made on the loop, from the membership found there.
type membershipChange struct {
	edit      membershipEdit
	proposed  chan error
	committed chan outcome
}

// handleChange proposes a change; its waiter hears of the commit.
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

// admit makes member a learner and waits until that is committed.
func (n *Node) admit(ctx context.Context, member *pb.Member, operator bool) error {
	return n.changeMembership(ctx, admitEdit(member, n.currentStatus().Committed, operator))
}

// admitEdit adds member as a learner, which must sync all up to asked before
// it counts. A member of another identity at the same address has lost its
// folder and is replaced in the same entry, so that no leader change can leave
// the repair half done. Without operator, only such a replacement is admitted.
func admitEdit(member *pb.Member, asked uint64, operator bool) membershipEdit {
	return func(current *pb.Membership) (*pb.Membership, error) {
		if consensus.FindMember(current, member.Id) != nil {
			return nil, nil
		}
		rest := slices.DeleteFunc(slices.Clone(current.Members), func(m *pb.Member) bool { return m.Addr == member.Addr })
		if len(rest) == len(current.Members) && !operator {
			return nil, errs.Wrap(ErrUnknownReplica, "admit replica", member.Addr)
		}
		learner := &pb.Member{Id: member.Id, Addr: member.Addr, DataCentre: member.DataCentre, Learner: true, JoinIndex: asked}
		next := consensus.NewMembership(append(rest, learner)...)
		next.Joined = current.Joined
		if len(rest) == len(current.Members) {
			next.Joined++
		}
		return next, nil
	}
}

// withoutMember returns the membership without one member. Its removal makes up
// for one that joined.
func withoutMember(current *pb.Membership, id string) *pb.Membership {
	next := proto.CloneOf(current)
	next.Members = slices.DeleteFunc(next.Members, func(m *pb.Member) bool { return m.Id == id })
	if next.Joined > 0 {
		next.Joined--
	}
	return next
}

// reconcileMembers makes a learner a voter once it has synced all that was
// committed when it asked, and the entry that admitted it.
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

// AddReplica implements Log. The replica must answer at addr and hold no log;
// an empty id stands for the one that it has. It returns once the learner's
// admission is committed.
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

// RemoveReplica implements Log. It refuses to leave a membership without a
// live quorum.
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

// quorumAlive tells whether a majority of voters was heard of lately.
func (n *Node) quorumAlive(m *pb.Membership) bool {
	limit := electionTicks * n.cfg.TickInterval
	voters, alive := 0, 0
	for _, member := range m.Members {
		if member.Learner {
			continue
		}
		voters++
		if member.Id == n.id || n.now().Sub(n.peers.lastHeard[member.Id]) < limit {
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
