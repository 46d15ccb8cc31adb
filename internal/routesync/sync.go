// Package routesync distributes the routing table to all instances. The replicated
// log decides which table is active. Each control replica pushes a new table to the
// routers assigned to it, and every instance fetches a newer table from any
// instance that announces a higher number (anti-entropy sync). A table is sent as
// the delta to its predecessor if the receiver holds that one. An instance never
// replaces a table by an older one.
//
// The set of evacuated data centres is distributed in the same way. An instance receives
// it no later than its first table.
//
// The package does not validate tables; Config.Decode does.
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
	// step is this package's step name in logs and errors.
	step = "routing table"
	// compareInterval is the time between two comparisons of the local table number
	// with those that other instances announce.
	compareInterval = 150 * time.Millisecond
	// initialCompareInterval is the first compare interval of an instance that has no
	// table yet. While the instance's requests return no table, because other
	// instances receive it first, initialBackoff doubles the interval, up to
	// maxBackoffDoublings times and not beyond compareInterval.
	initialCompareInterval = 25 * time.Millisecond
	maxBackoffDoublings    = 8
	// callTimeout bounds one push or fetch call.
	callTimeout = 1200 * time.Millisecond
	// maxConcurrentPushes bounds the concurrent pushes of one table.
	maxConcurrentPushes = 8
	// pushReplicas is the number of replicas that push to each router, so that the
	// failure of one does not delay the table. A table above largeTableBytes, after
	// compression, is pushed by one replica only, since it fills a replica's link;
	// routers then send it to each other.
	pushReplicas    = 2
	largeTableBytes = 8 << 10
)

// Decode converts an operator's document into a table. It returns an error if the
// document is invalid.
type Decode func(document []byte) (*routing.Table, error)

// Members is the part of the membership that Sync uses.
type Members interface {
	fleet.View
	// SetRoutingTable announces the number of the table that is active at this
	// instance.
	SetRoutingTable(number uint64)
	// SetEvacuations announces the revision of the set of evacuated data centres that is
	// active at this instance.
	SetEvacuations(revision uint64)
}

// Config configures a Sync. All fields are required, except Decode if
// ServesCallers is false, and OnEvacuations.
type Config struct {
	Holder *routing.Holder
	// Decode is called only if ServesCallers is set. Other instances store and send
	// tables without decoding them.
	Decode        Decode
	ServesCallers bool
	// OnEvacuations is called just before a newer set of evacuated data centres takes
	// effect, with the set before, which may be nil, and the new one. EndedEvacuations returns
	// the difference. The sets must not be modified. The calls are made one after the
	// other, in the order of the revisions; a call must not block.
	OnEvacuations func(before, after *pb.Evacuations)
	Members       Members
	Pool          *transport.Pool
	Server        *transport.Server
	Logger        *log.Logger
	Scope         tally.Scope
}

// Sync distributes routing tables and the set of evacuated data centres.
type Sync struct {
	cfg     Config
	applied tally.Counter
	invalid tally.Counter

	// applyMu serialises changes of the active table.
	applyMu sync.Mutex

	mu      sync.Mutex
	current heldTable
	// transfers limits the transfers of full tables.
	transfers transferLimiter
	// wake is signalled when Committed sets pending, the newest table that Run has
	// not applied yet.
	wake    chan struct{}
	pending *heldTable

	evacuations evacuations
}

// heldTable is a table that is active at this instance or about to be, with the
// delta to its predecessor.
type heldTable struct {
	number uint64
	// text is the operator's document.
	text []byte
	// base is the number of the table to which delta applies. delta is compressed;
	// it is empty if the table was received in full.
	base  uint64
	delta []byte
	// fullMessage returns the full table as a message. It compresses the text on
	// the first call only.
	fullMessage func() (*pb.RoutingTable, error)
}

// New creates a Sync and registers its methods on cfg.Server, which must not serve
// yet.
func New(cfg Config) *Sync {
	scope := cfg.Scope.SubScope("routing")
	s := &Sync{
		cfg:     cfg,
		applied: scope.Counter("tables_applied"),
		invalid: scope.Counter("tables_invalid"),
		wake:    make(chan struct{}, 1),

		evacuations: newEvacuations(cfg.Scope),
	}
	transport.Handle(cfg.Server, methodPush, s.handlePush)
	transport.Handle(cfg.Server, methodFetch, s.handleFetch)
	return s
}

// Committed queues a table that the replicated log committed; Run applies and pushes
// the newest one. Committed ignores a table that is not newer than the current and
// the queued one. It does not block.
func (s *Sync) Committed(number uint64, text []byte, command *pb.RoutingTable) {
	if !s.enqueue(&heldTable{number: number, text: text, base: command.GetBase(), delta: command.GetDelta()}) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue stores a table for Run to apply. It reports whether the table is newer
// than the current and the pending one.
func (s *Sync) enqueue(next *heldTable) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.number <= s.current.number || s.pending != nil && next.number <= s.pending.number {
		return false
	}
	s.pending = next
	return true
}

// Current returns the number and the text of the table that is active at this
// instance.
func (s *Sync) Current() (number uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.number, s.current.text
}

// Run applies, pushes and fetches tables and evacuations until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	var evacuations sync.WaitGroup
	evacuations.Go(func() { s.runEvacuations(ctx) })
	defer evacuations.Wait()
	timer := time.NewTimer(initialCompareInterval)
	defer timer.Stop()
	backoff := initialBackoff{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.applyPending(ctx)
		case <-timer.C:
			requested := s.fetchNewer(ctx)
			if s.cfg.Holder.Number() > 0 {
				timer.Reset(compareInterval)
			} else {
				timer.Reset(backoff.nextDelay(requested, rand.Float64()))
			}
		}
	}
}

// initialBackoff is the exponential back-off, with jitter, of an instance that has
// no table yet. The delay grows with each request that returned no table because
// other instances receive it first.
type initialBackoff struct{ attempts int }

// nextDelay returns the time until the next comparison. requested is set if the
// last comparison requested a table from another instance. random is between 0 and
// 1; it sets the jitter.
func (b *initialBackoff) nextDelay(requested bool, random float64) time.Duration {
	if !requested {
		return initialCompareInterval
	}
	b.attempts++
	delay := min(compareInterval, initialCompareInterval<<min(b.attempts-1, maxBackoffDoublings))
	return time.Duration((0.5 + random) * float64(delay))
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
	current := s.current
	s.mu.Unlock()
	if current.base != before {
		// This instance skipped a table, so most routers do not have the table to
		// which the delta applies.
		current.delta = nil
	}
	s.push(ctx, current)
}

// apply activates a table at this instance and announces its number. It reports
// whether the table was applied; an older, equal or invalid table is not. source is
// logged as the peer; it is this instance's ID if the table does not come from another
// instance, and otherwise the source that receive was given.
func (s *Sync) apply(next heldTable, source string) bool {
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
			s.cfg.Logger.Error().Err(err).Str("step", step).Str("peer", source).Uint64("number", next.number).
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
	s.cfg.Logger.Info().Str("step", step).Str("peer", source).Uint64("number", next.number).Uint64("base", next.base).
		Int("bytes", len(next.text)).Int("routes", len(table.Routes)).Int("teams", len(table.Teams)).
		Msg("a routing table is in force here")
	return true
}

// errWrongBase means that a delta applies to another table than the current one.
var errWrongBase = errors.New("the delta applies to another table")

// decode reads a table that another instance sent and applies its delta, if it is
// one, to the current table.
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

// receive applies a table that another instance sent, if it is newer than the
// current one. source is logged as the peer: the address that the table was fetched
// from, or "push" for a pushed table, whose sender is not known here.
func (s *Sync) receive(t *pb.RoutingTable, source string) {
	if t.GetNumber() <= s.cfg.Holder.Number() {
		return
	}
	next, err := s.decode(t)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", step).Str("peer", source).Uint64("number", t.GetNumber()).
			Uint64("base", t.GetBase()).Msg("a routing table that was sent is of no use here")
		return
	}
	s.apply(next, source)
}
