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
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/document"
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
	// initialCompareInterval is that of an instance that has no table yet; it doubles up to
	// maxPaceDoublings times while others are handed the table first.
	initialCompareInterval = 25 * time.Millisecond
	maxBackoffDoublings    = 8
	// callTimeout bounds one push or fetch.
	callTimeout = 1200 * time.Millisecond
	// maxConcurrentPushes bounds the pushes of one table that run at the same time.
	maxConcurrentPushes = 8
	// pushReplicas is the number of replicas that push to each router, so that
	// the loss of one doesn't delay it. Tables above largeBytes are pushed by one,
	// since they fill a replica's link; the routers hand them on.
	pushReplicas    = 2
	largeTableBytes = 8 << 10
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
	Decode        Decode
	ServesCallers bool
	Members       Members
	Pool          *transport.Pool
	Server        *transport.Server
	Logger        *log.Logger
	Scope         tally.Scope
}

// Sync spreads tables.
type Sync struct {
	cfg     Config
	applied tally.Counter
	invalid tally.Counter

	// applyMu serialises changes of the table in force.
	applyMu sync.Mutex

	mu      sync.Mutex
	current heldTable
	// transfers bounds what is sent as whole tables.
	transfers transferLimiter
	// wake is signalled when replicated state brings a table.
	wake    chan struct{}
	pending *heldTable
}

// heldTable is a table that is in force here, with the delta that made it.
type heldTable struct {
	number uint64
	text   []byte
	// base is the number of the table that delta changes; delta is packed and
	// empty if the table came whole.
	base  uint64
	delta []byte
	// fullMessage makes the whole table as a message, once.
	fullMessage func() (*pb.RoutingTable, error)
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

// Committed takes the newest table that the replicated log put in force; one that was
// taken before changes nothing. It doesn't block.
func (s *Sync) Committed(number uint64, text []byte, command *pb.RoutingTable) {
	if !s.enqueue(&heldTable{number: number, text: text, base: command.GetBase(), delta: command.GetDelta()}) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue has a table applied by Run; false if it is not newer than those before.
func (s *Sync) enqueue(next *heldTable) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.number <= s.current.number || s.pending != nil && next.number <= s.pending.number {
		return false
	}
	s.pending = next
	return true
}

// Current returns the number and the text of the table in force here.
func (s *Sync) Current() (number uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.number, s.current.text
}

// Run applies, pushes and fetches tables until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	timer := time.NewTimer(initialCompareInterval)
	defer timer.Stop()
	pace := initialBackoff{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.applyPending(ctx)
		case <-timer.C:
			asked := s.fetchNewer(ctx)
			if s.cfg.Holder.Number() > 0 {
				timer.Reset(compareInterval)
			} else {
				timer.Reset(pace.nextDelay(asked, rand.Float64()))
			}
		}
	}
}

// initialBackoff spaces the comparisons of an instance that has no table yet. Those that ask
// in vain, since others are handed the table before them, ask less and less often.
type initialBackoff struct{ attempts int }

// nextDelay returns the time to the next comparison; asked tells that another instance was
// asked for a table in the last one, draw is between 0 and 1.
func (p *initialBackoff) nextDelay(asked bool, draw float64) time.Duration {
	if !asked {
		return initialCompareInterval
	}
	p.attempts++
	pause := min(compareInterval, initialCompareInterval<<min(p.attempts-1, maxBackoffDoublings))
	return time.Duration((0.5 + draw) * float64(pause))
}

func (s *Sync) applyPending(ctx context.Context) {
	s.mu.Lock()
	next := s.pending
	s.pending = nil
	s.mu.Unlock()
	if next == nil {
		return
	}
	before, _ := s.Current()
	if !s.apply(*next, s.cfg.Members.Self().Id) {
		return
	}
	s.mu.Lock()
	present := s.current
	s.mu.Unlock()
	if present.base != before {
		// A table was skipped here; the delta is of no use to most others.
		present.delta = nil
	}
	s.push(ctx, present)
}

// apply puts a table in force here and announces it; false if it was not new.
func (s *Sync) apply(next heldTable, from string) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if next.number <= s.cfg.Holder.Number() {
		return false
	}
	table := &routing.Table{Number: next.number}
	if s.cfg.ServesCallers {
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
	next.fullMessage = sync.OnceValues(next.packFull)
	s.mu.Lock()
	s.current = next
	s.transfers.reset()
	s.mu.Unlock()
	s.applied.Inc(1)
	s.cfg.Members.SetRoutingTable(next.number)
	s.cfg.Logger.Info().Str("step", step).Str("peer", from).Uint64("number", next.number).Uint64("base", next.base).
		Int("bytes", len(next.text)).Int("routes", len(table.Routes)).Int("teams", len(table.Teams)).
		Msg("a routing table is in force here")
	return true
}

// errWrongBase means that a delta changes another table than the one held here.
var errWrongBase = errors.New("the delta is for another table")

// decode returns a table that another instance sent.
func (s *Sync) decode(t *pb.RoutingTable) (heldTable, error) {
	next := heldTable{number: t.GetNumber(), base: t.GetBase(), delta: t.GetDelta()}
	if len(t.GetDelta()) == 0 {
		text, err := document.Unpack(t.GetDocument())
		next.text = text
		return next, err
	}
	number, text := s.Current()
	if number != t.Base {
		return next, errWrongBase
	}
	delta, err := document.Unpack(t.Delta)
	if err != nil {
		return next, err
	}
	next.text, err = document.Patch(text, delta)
	return next, err
}

// receive applies a table that another instance sent.
func (s *Sync) receive(t *pb.RoutingTable, from string) {
	if t.GetNumber() <= s.cfg.Holder.Number() {
		return
	}
	next, err := s.decode(t)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", step).Str("peer", from).Uint64("number", t.GetNumber()).
			Uint64("base", t.GetBase()).Msg("a routing table that was sent is of no use here")
		return
	}
	s.apply(next, from)
}
