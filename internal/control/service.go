package control

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// DefaultLease is how long a router may serve after it sent a lease request.
	DefaultLease = 3 * time.Second
	// maxClockDrift is the largest difference in rate between the monotonic
	// clocks of a router and of the leader, as a fraction of the lease length.
	maxClockDrift = 0.05
	// maxCommandBytes bounds one log entry.
	maxCommandBytes = state.MaxRoutingTableBytes + 16<<10
	// maxDeltaBytes bounds the size of the objects in one lease reply.
	maxDeltaBytes = 256 << 10
	// replyReserve is subtracted from the deadline of a forwarded call, so that
	// its result reaches the sender before the sender's own deadline.
	replyReserve = 20 * time.Millisecond
	// maxQueryItems bounds the items in one reply.
	maxQueryItems = 2000
)

// Config configures a Service.
type Config struct {
	// Log is the replicated log of Group.
	Log replica.RaftNode
	// State is the local state machine of the log.
	State *state.Machine
	Group uint32
	// Server receives the calls.
	Server *transport.Server
	// Pool forwards calls to the leader.
	Pool   *transport.Pool
	Logger *log.Logger
	Scope  tally.Scope
	// Lease is the length of routers' leases; zero means DefaultLease. All
	// replicas must use the same length.
	Lease time.Duration
}

// Service handles the calls of routers and operators at a control replica. A
// follower forwards the calls to the leader.
type Service struct {
	log    replica.RaftNode
	state  *state.Machine
	group  uint32
	pool   peerCaller
	logger *log.Logger
	leases *leaseTable
	reads  *readBatch

	committed tally.Counter
	refused   tally.Counter

	// packed is the routing table of the last query for it, with its document
	// compressed. packedTable keeps it, since operators read the same table
	// repeatedly. packedMu guards it.
	packedMu sync.Mutex
	packed   *pb.RoutingTable
}

// NewService returns a service whose control methods are registered on cfg.Server.
// The caller must close the service.
func NewService(cfg Config) *Service {
	s := newService(cfg, cfg.Pool)
	register(cfg.Server, s)
	return s
}

func newService(cfg Config, pool peerCaller) *Service {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	scope := cfg.Scope.SubScope("control")
	return &Service{
		log:       cfg.Log,
		state:     cfg.State,
		group:     cfg.Group,
		pool:      pool,
		logger:    cfg.Logger,
		leases:    newLeaseTable(cfg.Lease),
		reads:     newReadBatch(cfg.Log, scope),
		committed: scope.Counter("commands_committed"),
		refused:   scope.Counter("leases_refused"),
	}
}

// Close cancels the read-index round in progress. Later reads fail.
func (s *Service) Close() { s.reads.close() }

// leadingTerm returns the term that this replica leads, and whether it may act as
// the leader now. ok is false if the replica does not lead, or if its leader lease
// (the period for which a quorum has confirmed it) has expired. At the first call
// in a new term, leadingTerm resets the lease table.
func (s *Service) leadingTerm() (term uint64, ok bool) {
	until, term, ok := s.log.LeaderLease()
	if !ok || !time.Now().Before(until) {
		return 0, false
	}
	s.leases.startTerm(term, time.Now())
	return term, true
}

// forward sends a call on to the known leader and decrements the request's
// remaining hops.
func (s *Service) forward(ctx context.Context, method string, req hopLimited, resp proto.Message) error {
	if req.GetHops() == 0 {
		return notLeader("hop limit reached")
	}
	_, addr := s.log.Leader()
	if addr == "" {
		return notLeader("no known leader")
	}
	setHops(req, req.GetHops()-1)
	ctx, cancel := withReplyReserve(ctx)
	defer cancel()
	return forwardedError(s.pool.Call(ctx, addr, method, req, resp))
}

// withReplyReserve returns a context for the forwarded call that ends replyReserve
// before ctx, so that the result can still reach the sender in time.
func withReplyReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-replyReserve))
}

func (s *Service) submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitReply, error) {
	if req.Group != s.group {
		return nil, notLeader("this replica is not a member of the log group")
	}
	if _, ok := s.leadingTerm(); !ok {
		resp := &pb.SubmitReply{}
		return resp, s.forward(ctx, methodSubmit, req, resp)
	}
	data, err := proto.Marshal(req.Command)
	if err != nil {
		return nil, err
	}
	if len(data) > maxCommandBytes {
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_FAILED, "the command exceeds the size limit of a log entry")
	}
	out, at, err := s.log.Propose(ctx, data)
	if err != nil {
		return nil, proposalError(err)
	}
	s.committed.Inc(1)
	resp := &pb.SubmitReply{Result: &pb.CommandResult{}, Term: at.Term, Index: at.Index, LeaderAddr: s.leaderAddr()}
	if err := proto.Unmarshal(out, resp.Result); err != nil {
		return nil, outcomeUnknown("decoding the result: " + err.Error())
	}
	return resp, nil
}

// leaderAddr returns the peer address of the known leader, which is this replica's
// address while it leads.
func (s *Service) leaderAddr() string {
	_, addr := s.log.Leader()
	return addr
}

func (s *Service) query(ctx context.Context, req *pb.QueryRequest) (*pb.QueryReply, error) {
	if _, ok := s.leadingTerm(); !ok {
		resp := &pb.QueryReply{}
		return resp, s.forward(ctx, methodQuery, req, resp)
	}
	if err := s.reads.wait(ctx); err != nil {
		return nil, err
	}
	limit := int(req.Limit)
	if limit == 0 || limit > maxQueryItems {
		limit = maxQueryItems
	}
	resp := &pb.QueryReply{Revision: s.state.Revision()}
	switch req.What {
	case pb.QueryRequest_WHAT_CONTRACTS:
		resp.Contracts = firstN(s.state.Contracts(req.Name), limit)
	case pb.QueryRequest_WHAT_INTENTS:
		resp.Intents = firstN(s.state.Intents(req.Name), limit)
	case pb.QueryRequest_WHAT_HISTORY:
		resp.History = s.history(req, limit)
	case pb.QueryRequest_WHAT_REPLICAS:
		resp.Replicas = s.log.Replicas()
	case pb.QueryRequest_WHAT_ROUTING_TABLE:
		resp.RoutingTable = s.packedTable(req.Revision)
	case pb.QueryRequest_WHAT_ROUTERS:
		resp.Routers = firstN(s.leases.list(time.Now()), limit)
	}
	return resp, nil
}

// packedTable returns the active routing table, or nil before the first one. held is
// the number of the table that the client holds; if that is the active one, the
// result has only its number. The packed form, with the document compressed, is cached,
// since operators read the same table repeatedly.
func (s *Service) packedTable(held uint64) *pb.RoutingTable {
	t := s.state.RoutingTable()
	if t == nil {
		return nil
	}
	if t.Number == held {
		return &pb.RoutingTable{Number: held}
	}
	s.packedMu.Lock()
	defer s.packedMu.Unlock()
	if s.packed.GetNumber() == t.Number {
		return s.packed
	}
	data, err := document.Pack(t.Document)
	if err != nil {
		s.logger.Error().Err(err).Str("step", methodQuery).Uint64("number", t.Number).Msg("cannot pack the routing table")
		return nil
	}
	s.packed = &pb.RoutingTable{Number: t.Number, Document: data}
	return s.packed
}

func (s *Service) history(req *pb.QueryRequest, limit int) []*pb.ChangeRecord {
	if req.Revision == 0 {
		return s.state.History(req.Name, limit)
	}
	if r := s.state.Change(req.Revision); r != nil {
		return []*pb.ChangeRecord{r}
	}
	return nil
}

func firstN[T any](items []T, n int) []T {
	return items[:min(n, len(items))]
}

func (s *Service) replicaChange(ctx context.Context, req *pb.ReplicaChangeRequest) (*pb.ReplicaChangeReply, error) {
	if _, ok := s.leadingTerm(); !ok {
		resp := &pb.ReplicaChangeReply{}
		return resp, s.forward(ctx, methodReplicaChange, req, resp)
	}
	var err error
	switch req.Kind {
	case pb.ReplicaChangeRequest_KIND_ADD:
		err = s.log.AddReplica(ctx, req.Id, req.Addr, req.DataCentre)
	case pb.ReplicaChangeRequest_KIND_REMOVE:
		err = s.log.RemoveReplica(ctx, req.Id)
	default:
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_FAILED, "replica change without a known kind")
	}
	if err != nil {
		return nil, proposalError(err)
	}
	return &pb.ReplicaChangeReply{Replicas: s.log.Replicas()}, nil
}
