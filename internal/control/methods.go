package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// The methods that Service and Relay register.
const (
	methodSubmit        = "control.submit"
	methodLease         = "control.lease"
	methodInForce       = "control.in_force"
	methodQuery         = "control.query"
	methodReplicaChange = "control.replica_change"
)

// maxHops is how often a call may be forwarded: from a relay to a follower, from the
// follower to the leader that it knows, and from there to the current leader if the
// follower has missed one change of the leader.
const maxHops = 3

// hopLimited is a request that counts down how often it may still be forwarded.
type hopLimited interface {
	proto.Message
	GetHops() uint32
}

// setHops sets the remaining hops of a request of one of the five methods.
func setHops(req hopLimited, hops uint32) {
	switch r := req.(type) {
	case *pb.SubmitRequest:
		r.Hops = hops
	case *pb.LeaseRequest:
		r.Hops = hops
	case *pb.InForceRequest:
		r.Hops = hops
	case *pb.QueryRequest:
		r.Hops = hops
	case *pb.ReplicaChangeRequest:
		r.Hops = hops
	}
}

// peerCaller makes one call to a peer. It is implemented by transport.Pool.
type peerCaller interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// handlers handles the calls of the five methods.
type handlers interface {
	submit(context.Context, *pb.SubmitRequest) (*pb.SubmitReply, error)
	lease(context.Context, *pb.LeaseRequest) (*pb.LeaseReply, error)
	inForce(context.Context, *pb.InForceRequest) (*pb.InForceReply, error)
	query(context.Context, *pb.QueryRequest) (*pb.QueryReply, error)
	replicaChange(context.Context, *pb.ReplicaChangeRequest) (*pb.ReplicaChangeReply, error)
}

func register(s *transport.Server, h handlers) {
	transport.Handle(s, methodSubmit, h.submit)
	transport.Handle(s, methodLease, h.lease)
	transport.Handle(s, methodInForce, h.inForce)
	transport.Handle(s, methodQuery, h.query)
	transport.Handle(s, methodReplicaChange, h.replicaChange)
}
