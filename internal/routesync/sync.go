// Package routesync spreads the routing table from instance to instance. The
// replicated log decides which table is in force; each control replica pushes
// a new one to the routers it is responsible for, and every instance fetches
// from any other that announces a higher number. A table travels as the
// difference to the one before it where the receiver holds that one. A table
// once in force at an instance is never replaced by an older one.
package routesync

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/document"
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
	callTimeout = 1200 * time.Millisecond
	// pushesAtOnce bounds the pushes of one table that run at the same time.
	pushesAtOnce = 8
	// pushCopies is the number of replicas that push to each router, so that
	// the loss of one doesn't delay it. Tables above largeBytes are pushed by one,
	// since they fill a replica's link; the routers hand them on.
	pushCopies = 2
	largeBytes = 8 << 10
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
	Holder *routing.Holder
	// Decode is not used by an instance that serves no callers.
	Decode  Decode
	Serves  bool
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

	// applying serialises changes of the table in force.
	applying sync.Mutex

	mu   sync.Mutex
	held held
	// wake is signalled when replicated state brings a table.
	wake    chan struct{}
	pending *held
}

// held is a table that is in force here, with the delta that made it.
type held struct {
	number uint64
	text   []byte
	// base is the number of the table that delta changes; delta is packed and
	// empty if the table came whole.
	base  uint64
	delta []byte
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
func (s *Sync) Committed(number uint64, text []byte, command *pb.RoutingTable) {
	s.mu.Lock()
	s.pending = &held{number: number, text: text, base: command.GetBase(), delta: command.GetDelta()}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Present returns the number and the text of the table in force here.
func (s *Sync) Present() (number uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held.number, s.held.text
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
	next := s.pending
	s.pending = nil
	s.mu.Unlock()
	if next == nil {
		return
	}
	before, _ := s.Present()
	if !s.apply(*next, s.cfg.Members.Self().Id) {
		return
	}
	if next.base != before {
		// A table was skipped here; the delta is of no use to most others.
		next.delta = nil
	}
	s.push(ctx, *next)
}

// apply puts a table in force here and announces it; false if it was not new.
func (s *Sync) apply(next held, from string) bool {
	s.applying.Lock()
	defer s.applying.Unlock()
	if next.number <= s.cfg.Holder.Number() {
		return false
	}
	table := &routing.Table{Number: next.number}
	if s.cfg.Serves {
		decoded, err := s.cfg.Decode(next.text)
		if err != nil {
			s.invalid.Inc(1)
			s.cfg.Logger.Error().Err(err).Str("step", step).Str("peer", from).Uint64("number", next.number).
				Msg("a routing table can't be decoded and is passed over")
			return false
		}
		decoded.Number = next.number
		table = decoded
	}
	s.cfg.Holder.Apply(table)
	s.mu.Lock()
	s.held = next
	s.mu.Unlock()
	s.applied.Inc(1)
	s.cfg.Members.SetRoutingTable(next.number)
	s.cfg.Logger.Info().Str("step", step).Str("peer", from).Uint64("number", next.number).Uint64("base", next.base).
		Int("bytes", len(next.text)).Int("routes", len(table.Routes)).Int("teams", len(table.Teams)).
		Msg("a routing table is in force here")
	return true
}

// errBase means that a delta changes another table than the one held here.
var errBase = errors.New("the delta is for another table")

// read returns a table that another instance sent.
func (s *Sync) read(t *pb.RoutingTable) (held, error) {
	next := held{number: t.GetNumber(), base: t.GetBase(), delta: t.GetDelta()}
	if len(t.GetDelta()) == 0 {
		text, err := document.Unpack(t.GetDocument())
		next.text = text
		return next, err
	}
	number, text := s.Present()
	if number != t.Base {
		return next, errBase
	}
	delta, err := document.Unpack(t.Delta)
	if err != nil {
		return next, err
	}
	next.text, err = document.Patch(text, delta)
	return next, err
}

// take applies a table that another instance sent.
func (s *Sync) take(t *pb.RoutingTable, from string) {
	if t.GetNumber() <= s.cfg.Holder.Number() {
		return
	}
	next, err := s.read(t)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", step).Str("peer", from).Uint64("number", t.GetNumber()).
			Uint64("base", t.GetBase()).Msg("a routing table that was sent is of no use here")
		return
	}
	s.apply(next, from)
}

// message returns the held table for an instance that holds another one: as a
// delta if it changes that one, else whole.
func (h held) message(holds uint64) (*pb.RoutingTable, error) {
	if len(h.delta) > 0 && h.base == holds {
		return &pb.RoutingTable{Number: h.number, Base: h.base, Delta: h.delta}, nil
	}
	packed, err := document.Pack(h.text)
	return &pb.RoutingTable{Number: h.number, Document: packed}, err
}

// push hands the table to the routers that this replica is responsible for.
func (s *Sync) push(ctx context.Context, h held) {
	whole, err := h.message(h.number)
	if err != nil {
		s.cfg.Logger.Error().Err(err).Str("step", step).Uint64("number", h.number).Msg("a routing table can't be packed")
		return
	}
	copies := pushCopies
	if len(h.delta) == 0 && len(whole.Document) > largeBytes {
		copies = 1
	}
	slots := make(chan struct{}, pushesAtOnce)
	for _, r := range responsible(s.cfg.Members.Self().Id, s.cfg.Members.Routers(), h.number, copies) {
		msg := whole
		if len(h.delta) > 0 && r.RoutingTable == h.base {
			msg = &pb.RoutingTable{Number: h.number, Base: h.base, Delta: h.delta}
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.pushTo(ctx, r, msg)
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
// the first replicas in rendezvous order.
func responsible(self string, routers []*pb.RouterStatus, number uint64, copies int) []*pb.RouterStatus {
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
		for _, id := range ranked[:min(copies, len(ranked))] {
			if id == self {
				out = append(out, r)
			}
		}
	}
	return out
}

func (s *Sync) handlePush(_ context.Context, req *pb.RoutingPush) (*pb.RoutingAck, error) {
	s.take(req.Table, "push")
	return &pb.RoutingAck{Number: s.cfg.Holder.Number()}, nil
}

func (s *Sync) handleFetch(_ context.Context, req *pb.RoutingFetch) (*pb.RoutingReply, error) {
	s.mu.Lock()
	h := s.held
	s.mu.Unlock()
	if h.number <= req.Above {
		return &pb.RoutingReply{}, nil
	}
	t, err := h.message(req.Above)
	return &pb.RoutingReply{Table: t}, err
}

// compare fetches the table from an instance that announces the highest number,
// if it is above the own one.
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
		s.take(reply.Table, best.Id)
	}
}

// ahead returns one of the instances with the highest number above own, or nil.
// Routers go before replicas, whose links are narrow. Which one changes from call
// to call, so that a silent one doesn't block.
func ahead(routers []*pb.RouterStatus, own uint64) *pb.RouterStatus {
	var best []*pb.RouterStatus
	for _, r := range routers {
		switch {
		case r.RoutingTable <= own:
		case len(best) == 0 || preferred(r, best[0]):
			best = []*pb.RouterStatus{r}
		case !preferred(best[0], r):
			best = append(best, r)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[int(time.Now().UnixNano()/int64(compareInterval))%len(best)]
}

// preferred tells whether a is better to fetch from than b.
func preferred(a, b *pb.RouterStatus) bool {
	if a.RoutingTable != b.RoutingTable {
		return a.RoutingTable > b.RoutingTable
	}
	return !a.Replica && b.Replica
}
