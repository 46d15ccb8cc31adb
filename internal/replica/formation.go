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
	// pollInterval is the pause between two polls of the founders.
	pollInterval = 250 * time.Millisecond
	// pollTimeout is the time limit of one hello call.
	pollTimeout = 1 * time.Second
	// formationTerm is the term of the first entry. All founders write the same
	// first entry.
	formationTerm = 1
)

// bootstrap returns the state from which the core starts. When the founders agree
// on a founding membership, this is a log with that membership as its first entry.
// When a cluster runs already and this replica is not one of its founding members,
// this is an empty log, and the replica joins that cluster.
//
// A founder starts only after every founder replied with either the same founding
// membership or an identity that this membership does not contain, and only if a
// majority has accepted the membership. An unknown identity means that the
// directory at this address was emptied after the membership was accepted. A
// founder keeps the membership that it accepted unless a majority has accepted
// another one or a cluster runs already. Two memberships cannot both reach a
// majority, so a minority of founders with emptied directories never forms a second
// cluster.
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

// writeFirstEntry writes the founding membership as the first log entry. The
// entry counts as committed, since the founders have agreed on it.
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
	n.logEvent(log.InfoLevel, "form").Int("founders", len(membership.Members)).Msg("formed a new cluster")
	return &journal.State{ID: n.id, HardState: hs, Entries: entries}, nil
}

type formationStep int

const (
	formationWait formationStep = iota
	// formationAccept persists the founding membership as the accepted one.
	formationAccept
	// formationStart writes the founding membership as the first log entry.
	formationStart
	// formationJoin joins the running cluster.
	formationJoin
)

type formationDecision struct {
	step       formationStep
	membership *pb.Membership
}

// decideFormation returns the next step of the bootstrap. replies holds the hello
// replies of the other founders by address; founders that did not reply are
// missing.
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

// majorityChoice returns a membership that differs from the accepted one, that
// contains this replica and that a majority of its members has accepted, or nil.
// If there is such a membership, the accepted one cannot be started any more: it
// never had a majority, since only this function lets a founder replace the
// membership that it accepted.
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

// decideStart returns formationStart once every founder replied and a majority has
// accepted the same membership as this replica. A founder that has not must have a
// new identity: its directory was emptied after it accepted the membership.
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

// decideProposal creates the founding membership if all founders are empty and
// this replica has the smallest founder address.
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

// selfMember returns this replica as a voter.
func (n *Node) selfMember() *pb.Member {
	return &pb.Member{Id: n.id, Addr: n.cfg.Addr, DataCentre: n.cfg.DataCentre}
}

// pollFounders calls hello at all other founders in parallel and returns the
// replies by address.
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

// callHello requests the identity and formation state of the replica at addr.
func (n *Node) callHello(addr string) (*pb.HelloReply, error) {
	ctx, cancel := context.WithTimeout(n.ctx, pollTimeout)
	defer cancel()
	reply := &pb.HelloReply{}
	return reply, n.cfg.Pool.Call(ctx, addr, n.method("hello"), &pb.HelloRequest{Group: n.cfg.Group}, reply)
}

// sleep waits for d. It fails when the node stops.
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
