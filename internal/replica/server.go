package replica

import (
	"context"
	"errors"
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// method returns the name under which a method of this Raft group is registered at
// the transport.
func (n *Node) method(name string) string {
	return fmt.Sprintf("raft.%d.%s", n.cfg.Group, name)
}

func (n *Node) register() {
	transport.Handle(n.cfg.Server, n.method("step"), n.handleStep)
	transport.Handle(n.cfg.Server, n.method("hello"), n.handleHello)
	transport.Handle(n.cfg.Server, n.method("join"), n.handleJoin)
}

func (n *Node) handleStep(_ context.Context, b *pb.RaftBatch) (*pb.RaftAck, error) {
	if !n.running() {
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_FAILED, "the replica is not running yet")
	}
	select {
	case n.incoming <- b:
		return &pb.RaftAck{}, nil
	default:
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_OVERLOADED, "too many messages are waiting")
	}
}

func (n *Node) handleHello(context.Context, *pb.HelloRequest) (*pb.HelloReply, error) {
	s := n.currentStatus()
	return &pb.HelloReply{
		Id:         n.id,
		Addr:       n.cfg.Addr,
		DataCentre: n.cfg.DataCentre,
		State:      s.formation,
		Membership: s.founding,
	}, nil
}

func (n *Node) handleJoin(ctx context.Context, req *pb.JoinRequest) (*pb.JoinReply, error) {
	if req.Member == nil || req.Member.Id == "" || req.Member.Addr == "" {
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_FAILED, "join request has no replica ID or address")
	}
	err := n.admitJoiner(ctx, req.Member)
	if errors.Is(err, ErrNotLeader) {
		_, addr := n.Leader()
		return &pb.JoinReply{LeaderAddr: addr}, nil
	}
	if err != nil {
		return nil, err
	}
	voter, learner := n.memberState(req.Member.Id)
	return &pb.JoinReply{Voter: voter, Learner: learner}, nil
}

// admitJoiner admits a replica that sent a join request. First it checks that the
// replica at the given address has the given ID, since a request with a wrong
// address must not replace the live replica there.
func (n *Node) admitJoiner(ctx context.Context, member *pb.Member) error {
	if n.currentStatus().Role != consensus.Leader {
		return ErrNotLeader
	}
	if voter, learner := n.memberState(member.Id); voter || learner {
		return nil
	}
	reply, err := n.callHello(member.Addr)
	if err != nil {
		return err
	}
	if reply.Id != member.Id {
		return errs.Wrap(ErrWrongIdentity, "admit replica", member.Addr)
	}
	return n.admit(ctx, member, n.cfg.OpenAdmission)
}
