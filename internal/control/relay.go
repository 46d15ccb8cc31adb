package control

import (
	"context"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Server receives the calls.
	Server *transport.Server
	// Pool forwards the calls.
	Pool *transport.Pool
	// Replicas returns the peer addresses of the control replicas.
	Replicas func() []string
	Logger   *log.Logger
	Scope    tally.Scope
}

// Relay forwards control calls of other instances to the replicas. It never
// repeats a command whose outcome is unknown; the client decides about that.
type Relay struct {
	leader  *leaderCaller
	relayed tally.Counter
}

// NewRelay returns a relay whose control methods are registered on cfg.Server. The
// caller must close the relay.
func NewRelay(cfg RelayConfig) *Relay {
	r := newRelay(cfg, cfg.Pool)
	register(cfg.Server, r)
	return r
}

func newRelay(cfg RelayConfig, peers peerCaller) *Relay {
	return &Relay{
		leader:  newLeaderCaller(peers, cfg.Replicas, nil),
		relayed: cfg.Scope.SubScope("control").Counter("calls_relayed"),
	}
}

// Close waits for the calls that reads run in the background. Later reads fail.
func (r *Relay) Close() { r.leader.close() }

// decrementHops uses up one hop of the request. It fails if no hop is left.
func (r *Relay) decrementHops(req hopLimited) error {
	if req.GetHops() == 0 {
		return notLeader("hop limit reached")
	}
	setHops(req, req.GetHops()-1)
	r.relayed.Inc(1)
	return nil
}

func relayCommand(ctx context.Context, r *Relay, method string, req hopLimited, resp proto.Message) error {
	if err := r.decrementHops(req); err != nil {
		return err
	}
	ctx, cancel := withReplyReserve(ctx)
	defer cancel()
	return forwardedError(r.leader.callInOrder(ctx, method, req, resp))
}

func relayRead[T any, R interface {
	*T
	proto.Message
}](ctx context.Context, r *Relay, method string, req hopLimited) (R, error) {
	if err := r.decrementHops(req); err != nil {
		return nil, err
	}
	ctx, cancel := withReplyReserve(ctx)
	defer cancel()
	resp, err := hedgedRead[T, R](ctx, r.leader, method, req)
	return resp, forwardedError(err)
}

func (r *Relay) submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitReply, error) {
	resp := &pb.SubmitReply{}
	return resp, relayCommand(ctx, r, methodSubmit, req, resp)
}

func (r *Relay) replicaChange(ctx context.Context, req *pb.ReplicaChangeRequest) (*pb.ReplicaChangeReply, error) {
	resp := &pb.ReplicaChangeReply{}
	return resp, relayCommand(ctx, r, methodReplicaChange, req, resp)
}

func (r *Relay) lease(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
	return relayRead[pb.LeaseReply](ctx, r, methodLease, req)
}

func (r *Relay) inForce(ctx context.Context, req *pb.InForceRequest) (*pb.InForceReply, error) {
	return relayRead[pb.InForceReply](ctx, r, methodInForce, req)
}

func (r *Relay) query(ctx context.Context, req *pb.QueryRequest) (*pb.QueryReply, error) {
	return relayRead[pb.QueryReply](ctx, r, methodQuery, req)
}
