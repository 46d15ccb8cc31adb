// Package routesync spreads the routing table from instance to instance. The
// replicated log decides which table is in force; each control replica pushes
// a new one to the routers it is responsible for, and every instance fetches
// from any other that announces a higher number. A table once in force at an
// instance is never replaced by an older one.
package routesync

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	methodPush  = "routing.push"
	methodFetch = "routing.fetch"
	// step names this package's work in logs and errors.
	step = "routing table"
	// compareInterval lies between two comparisons with the numbers that other
	// instances announce.
	compareInterval = 150 * time.Millisecond
	// callTimeout bounds one push or fetch.
	callTimeout = 800 * time.Millisecond
	// pushesAtOnce bounds the pushes of one table that run at the same time.
	pushesAtOnce = 8
	// pushCopies is the number of replicas that push to each router, so that
	// the loss of one doesn't delay it.
	pushCopies = 2
)

// Decode turns an operator's document into a table. It fails for invalid ones.
type Decode func(document []byte) (*routing.Table, error)

// Members is what the sync uses of the membership.
type Members interface {
	fleet.View
	// SetRoutingTable announces the number of the table in force here.
	SetRoutingTable(number uint64)
}

// Config sets up a Sync; all fields are needed.
type Config struct {
	Holder  *routing.Holder
	Decode  Decode
	Members Members
	Pool    *transport.Pool
	Server  *transport.Server
	Logger  *log.Logger
	Scope   tally.Scope
}

// Sync spreads tables.
type Sync struct {
	cfg     Config
	applied tally.Counter
	invalid tally.Counter

	mu sync.Mutex
	// table is the encoded form of the table in force.
	table *pb.RoutingTable
	// wake is signalled when replicated state brings a table.
	wake    chan struct{}
	pending *pb.RoutingTable
}

// New registers the methods on cfg.Server, which must not serve yet.
func New(cfg Config) *Sync {
	scope := cfg.Scope.SubScope("routing")
	s := &Sync{
		cfg:     cfg,
		applied: scope.Counter("tables_applied"),
		invalid: scope.Counter("tables_invalid"),
		wake:    make(chan struct{}, 1),
	}
	transport.Handle(cfg.Server, methodPush, s.handlePush)
	transport.Handle(cfg.Server, methodFetch, s.handleFetch)
	return s
}

// Committed takes a table that the replicated log put in force. It doesn't
// block.
func (s *Sync) Committed(t *pb.RoutingTable) {
	s.mu.Lock()
	s.pending = t
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run applies, pushes and fetches tables until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.takePending(ctx)
		case <-ticker.C:
			s.compare(ctx)
		}
	}
}

func (s *Sync) takePending(ctx context.Context) {
	s.mu.Lock()
	t := s.pending
	s.pending = nil
	s.mu.Unlock()
	if t == nil || !s.apply(t, s.cfg.Members.Self().Id) {
		return
	}
	s.push(ctx, t)
}

// apply puts a table in force here and announces it; false if it was not new.
func (s *Sync) apply(t *pb.RoutingTable, from string) bool {
	if t.GetNumber() <= s.cfg.Holder.Number() {
		return false
	}
	table, err := s.decode(t)
	if err != nil {
		s.invalid.Inc(1)
		s.cfg.Logger.Error().Err(err).Str("step", step).Str("peer", from).Uint64("number", t.Number).
			Msg("a routing table can't be decoded and is passed over")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cfg.Holder.Apply(table) {
		return false
	}
	s.table = t
	s.applied.Inc(1)
	s.cfg.Members.SetRoutingTable(t.Number)
	s.cfg.Logger.Info().Str("step", step).Str("peer", from).Uint64("number", t.Number).
		Int("routes", len(table.Routes)).Int("teams", len(table.Teams)).Msg("a routing table is in force here")
	return true
}

func (s *Sync) decode(t *pb.RoutingTable) (*routing.Table, error) {
	document, err := Unpack(t.Document)
	if err != nil {
		return nil, err
	}
	table, err := s.cfg.Decode(document)
	if err != nil {
		return nil, err
	}
	table.Number = t.Number
	return table, nil
}

// push hands the table to the routers that this replica is responsible for.
func (s *Sync) push(ctx context.Context, t *pb.RoutingTable) {
	targets := responsible(s.cfg.Members.Self().Id, s.cfg.Members.Routers(), t.Number)
	slots := make(chan struct{}, pushesAtOnce)
	for _, r := range targets {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.pushTo(ctx, r, t)
		}()
	}
}

func (s *Sync) pushTo(ctx context.Context, r *pb.RouterStatus, t *pb.RoutingTable) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.cfg.Pool.Call(ctx, r.PeerAddr, methodPush, &pb.RoutingPush{Table: t}, &pb.RoutingAck{})
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", step).Str("peer", r.Id).Uint64("number", t.Number).
			Msg("a routing table was not pushed; the instance fetches it")
	}
}

// responsible returns the routers without the table for which self is among
// the first pushCopies replicas in rendezvous order.
func responsible(self string, routers []*pb.RouterStatus, number uint64) []*pb.RouterStatus {
	var replicas []string
	for _, r := range routers {
		if r.Replica {
			replicas = append(replicas, r.Id)
		}
	}
	var out []*pb.RouterStatus
	for _, r := range routers {
		if r.Id == self || r.Replica || r.RoutingTable >= number {
			continue
		}
		ranked := fleet.Rank(r.Id, replicas)
		for _, id := range ranked[:min(pushCopies, len(ranked))] {
			if id == self {
				out = append(out, r)
			}
		}
	}
	return out
}

func (s *Sync) handlePush(_ context.Context, req *pb.RoutingPush) (*pb.RoutingAck, error) {
	if req.Table != nil {
		s.apply(req.Table, "push")
	}
	return &pb.RoutingAck{Number: s.cfg.Holder.Number()}, nil
}

func (s *Sync) handleFetch(_ context.Context, req *pb.RoutingFetch) (*pb.RoutingReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.GetNumber() <= req.Above {
		return &pb.RoutingReply{}, nil
	}
	return &pb.RoutingReply{Table: s.table}, nil
}

// compare fetches the table from the instance that announces the highest
// number, if it is above the own one.
func (s *Sync) compare(ctx context.Context) {
	own := s.cfg.Holder.Number()
	best := ahead(s.cfg.Members.Routers(), own)
	if best == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &pb.RoutingReply{}
	if err := s.cfg.Pool.Call(ctx, best.PeerAddr, methodFetch, &pb.RoutingFetch{Above: own}, reply); err != nil {
		s.cfg.Logger.Warn().Err(errs.Wrap(err, step, best.Id)).Str("step", step).Str("peer", best.Id).Uint64("number", best.RoutingTable).
			Msg("a newer routing table was not fetched")
		return
	}
	if reply.Table != nil {
		s.apply(reply.Table, best.Id)
	}
}

// ahead returns one of the instances with the highest number above own, or nil.
// Which one changes from call to call, so that a silent one doesn't block.
func ahead(routers []*pb.RouterStatus, own uint64) *pb.RouterStatus {
	var best []*pb.RouterStatus
	for _, r := range routers {
		switch {
		case r.RoutingTable <= own:
		case len(best) == 0 || r.RoutingTable > best[0].RoutingTable:
			best = []*pb.RouterStatus{r}
		case r.RoutingTable == best[0].RoutingTable:
			best = append(best, r)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[int(time.Now().UnixNano()/int64(compareInterval))%len(best)]
}
