package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// pollInterval lies between two rounds of questions to the founders.
	pollInterval = 250 * time.Millisecond
	// pollTimeout bounds one question.
	pollTimeout = 1 * time.Second
	// formationTerm is the term of the first entry, which all founders write
	// alike.
	formationTerm = 1
)

// bootstrap returns the state to start from: that of a founder once all founders
// were seen to have the same founding membership, or an empty one, to join a
// system that runs already.
//
// A founder accepts at most one founding membership as long as its folder
// lasts, and starts only when each founder's address either holds the same
// membership or an identity that is not in it, which means that its folder was
// emptied since; a majority must hold it. Two memberships can't both reach
// that, so that an emptied minority never forms a second system.
func (n *Node) bootstrap(state *journal.State) (*journal.State, error) {
	accepted, err := n.journal.Formation()
	if err != nil {
		return nil, err
	}
	if accepted != nil {
		n.setFounding(accepted, pb.FormationState_FORMATION_STATE_PREPARED)
	}
	if n.cfg.JoinOnly && accepted == nil {
		return state, nil
	}
	for {
		replies := n.pollFounders()
		next := decideFormation(n.selfMember(), n.cfg.Founders, accepted, replies)
		switch next.step {
		case formationJoin:
			return state, n.dropFormation(accepted)
		case formationAccept:
			if err := n.journal.SaveFormation(next.membership); err != nil {
				return nil, err
			}
			accepted = next.membership
			n.setFounding(accepted, pb.FormationState_FORMATION_STATE_PREPARED)
			continue
		case formationStart:
			return n.writeFirstEntry(state, next.membership)
		}
		if err := n.sleep(pollInterval); err != nil {
			return nil, err
		}
	}
}

func (n *Node) dropFormation(accepted *pb.Membership) error {
	if accepted == nil {
		return nil
	}
	n.setFounding(nil, pb.FormationState_FORMATION_STATE_EMPTY)
	return n.journal.RemoveFormation()
}

// writeFirstEntry writes the first entry, which is committed by the founders' agreement.
func (n *Node) writeFirstEntry(state *journal.State, membership *pb.Membership) (*journal.State, error) {
	data, err := proto.Marshal(membership)
	if err != nil {
		return nil, err
	}
	first := &pb.LogEntry{Term: formationTerm, Index: 1, Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	hs := &pb.HardState{Term: max(formationTerm, state.HardState.GetTerm()), Vote: state.HardState.GetVote(), Commit: 1}
	entries := []*pb.LogEntry{first}
	if err := n.journal.Save(hs, entries, true); err != nil {
		return nil, err
	}
	n.setFounding(membership, pb.FormationState_FORMATION_STATE_RUNNING)
	n.logEvent(log.InfoLevel, "form").Int("founders", len(membership.Members)).Msg("the system is formed")
	return &journal.State{ID: n.id, HardState: hs, Entries: entries}, nil
}

type formationStep int

const (
	formationWait formationStep = iota
	// formationAccept records the founding membership.
	formationAccept
	formationStart
	formationJoin
)

type formationDecision struct {
	step       formationStep
	membership *pb.Membership
}

// decideFormation weighs what the founders answered; an address without an
// answer has none in replies. The own answer is not among them.
func decideFormation(self *pb.Member, founders []string, accepted *pb.Membership, replies map[string]*pb.HelloReply) formationDecision {
	if found := runningFounder(replies); found != nil {
		if consensus.FindMember(found.Membership, self.Id) != nil {
			return startOrAccept(accepted, found.Membership)
		}
		return formationDecision{step: formationJoin}
	}
	if !slices.Contains(founders, self.Addr) {
		return formationDecision{step: formationWait}
	}
	if accepted != nil {
		if m := majorityChoice(self.Id, accepted, replies); m != nil {
			return formationDecision{formationAccept, m}
		}
		return decideStart(self.Id, accepted, replies)
	}
	for _, addr := range founders {
		if m := replies[addr].GetMembership(); consensus.FindMember(m, self.Id) != nil {
			return formationDecision{formationAccept, m}
		}
	}
	return decideProposal(self, founders, replies)
}

func startOrAccept(accepted, membership *pb.Membership) formationDecision {
	if proto.Equal(accepted, membership) {
		return formationDecision{formationStart, membership}
	}
	return formationDecision{formationAccept, membership}
}

func runningFounder(replies map[string]*pb.HelloReply) *pb.HelloReply {
	for _, r := range replies {
		if r.State == pb.FormationState_FORMATION_STATE_RUNNING {
			return r
		}
	}
	return nil
}

// majorityChoice returns another membership with this replica that a majority
// holds, nil if there is none. The accepted one can't win then: it never had a
// majority, since a founder changes its mind only here.
func majorityChoice(id string, accepted *pb.Membership, replies map[string]*pb.HelloReply) *pb.Membership {
	for _, r := range replies {
		if proto.Equal(r.Membership, accepted) || consensus.FindMember(r.Membership, id) == nil {
			continue
		}
		holding := 0
		for _, other := range replies {
			if proto.Equal(other.Membership, r.Membership) {
				holding++
			}
		}
		if 2*holding > len(r.Membership.Members) {
			return r.Membership
		}
	}
	return nil
}

// decideStart starts once every founder answered and a majority holds the
// accepted membership, the others' folders having been emptied since.
func decideStart(id string, accepted *pb.Membership, replies map[string]*pb.HelloReply) formationDecision {
	holding := 1
	for _, m := range accepted.Members {
		if m.Id == id {
			continue
		}
		reply := replies[m.Addr]
		switch {
		case reply == nil:
			return formationDecision{step: formationWait}
		case proto.Equal(reply.Membership, accepted):
			holding++
		case reply.Id == m.Id:
			return formationDecision{step: formationWait}
		}
	}
	if 2*holding <= len(accepted.Members) {
		return formationDecision{step: formationWait}
	}
	return formationDecision{formationStart, accepted}
}

// decideProposal makes the founding membership at the first founder, when all
// founders are empty.
func decideProposal(self *pb.Member, founders []string, replies map[string]*pb.HelloReply) formationDecision {
	if self.Addr != slices.Min(founders) {
		return formationDecision{step: formationWait}
	}
	var members []*pb.Member
	for _, founder := range founders {
		if founder == self.Addr {
			continue
		}
		r := replies[founder]
		if r == nil || r.State != pb.FormationState_FORMATION_STATE_EMPTY || r.Membership != nil {
			return formationDecision{step: formationWait}
		}
		members = append(members, &pb.Member{Id: r.Id, Addr: founder, DataCentre: r.DataCentre})
	}
	return formationDecision{formationAccept, consensus.NewMembership(append(members, self)...)}
}

// selfMember describes this replica as a voter.
func (n *Node) selfMember() *pb.Member {
	return &pb.Member{Id: n.id, Addr: n.cfg.Addr, DataCentre: n.cfg.DataCentre}
}

// pollFounders asks all other founders who they are.
func (n *Node) pollFounders() map[string]*pb.HelloReply {
	replies := make(map[string]*pb.HelloReply)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, addr := range n.cfg.Founders {
		if addr == n.cfg.Addr {
			continue
		}
		calls.Go(func() {
			reply, err := n.callHello(addr)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[addr] = reply
		})
	}
	calls.Wait()
	return replies
}

func (n *Node) callHello(addr string) (*pb.HelloReply, error) {
	ctx, cancel := context.WithTimeout(n.ctx, pollTimeout)
	defer cancel()
	reply := &pb.HelloReply{}
	return reply, n.cfg.Pool.Call(ctx, addr, n.method("hello"), &pb.HelloRequest{Group: n.cfg.Group}, reply)
}

// sleep waits for d, or fails when the node ends.
func (n *Node) sleep(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
		return n.ctx.Err()
	case <-t.C:
		return nil
	}
}
