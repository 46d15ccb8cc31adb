// Package balance chooses a target for each request from this router's view:
// the targets that announce themselves, how they served requests lately, and
// the requests in flight here and, as they tell, at the other routers.
package balance

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// targetRetention is how long a target that is in no view is remembered.
	targetRetention = 30 * time.Second
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// Key stands for the longest part of the prompt that requests share; empty
	// without one.
	Key string
	// Slots is the most requests that a target of the service runs at once;
	// zero if unknown.
	Slots int
	// Exclude are targets that failed this request already.
	Exclude []string
	// Goal is the time within which the request should be answered; Overdue tells
	// that it can't be any more, and Life how long it may last.
	Goal        time.Duration
	Overdue     bool
	MaxDuration time.Duration
}

// Choice is a target with the reasons for it.
type Choice struct {
	Target *pb.TargetStatus
	Reason string
	// InFlight is the number of requests that the target had, as known here.
	InFlight int
	// Holder is another target that may hold parts of the prompt; nil without.
	Holder *pb.TargetStatus
	// Alternatives is the number of other targets that could take the request.
	Alternatives int
	// StaleLoad tells that the target was drawn by counts that are older than
	// requests without a prompt last.
	StaleLoad bool
	// Done gives the place back with the outcome. Only its first call counts.
	Done func(Outcome)
}

// HealthChange tells that a target is avoided, or no longer.
type HealthChange struct {
	Target  *pb.TargetStatus
	Ejected bool
	// FailureRate is the weighted share of its failed requests.
	FailureRate float64
	// EjectedFor is how long it is avoided.
	EjectedFor time.Duration
}

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	view fleet.View
	now  func() time.Time
	// onHealth is told of changes; it must not block or call the balancer.
	onHealth func(HealthChange)

	mu          sync.Mutex
	rng         *rand.Rand
	targets     map[uint64]*target
	remoteLoads remoteLoads
	lastSweep   time.Time
}

// target is one incarnation of a target as this router knows it.
type target struct {
	inFlight int
	health   health
	lastSeen time.Time
	// pausedUntil is until when the target wants no requests from this router, and
	// leaving tells that it said in an answer that it leaves.
	pausedUntil time.Time
	leaving     bool
}

// New makes a balancer over the targets of view; onHealth may be nil.
func New(view fleet.View, onHealth func(HealthChange)) *Balancer {
	if onHealth == nil {
		onHealth = func(HealthChange) {}
	}
	return &Balancer{
		view:        view,
		now:         time.Now,
		onHealth:    onHealth,
		rng:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		targets:     make(map[uint64]*target),
		remoteLoads: newRemoteLoads(),
	}
}

var (
	// ErrNoTarget means that no target of the service is known and not excluded.
	ErrNoTarget = errors.New("no target takes the request now")
	// ErrFull means that each target has as many requests as it serves in time.
	ErrFull = errors.New("all targets have as many requests as they serve in time")
)

// Pick chooses a target for r.
func (b *Balancer) Pick(r Request) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.sweep(now)
	all := b.candidates(now, r)
	chosen := b.choose(r, all)
	if chosen.target == nil {
		return Choice{}, noCandidateError(all)
	}
	return b.assign(chosen, all), nil
}

// PickTarget chooses a target that another router named by its key in counts, for the
// reason why.
func (b *Balancer) PickTarget(r Request, key uint32, why string) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.candidates(b.now(), r)
	for _, c := range all {
		if loadKey(c.status) == key && c.eligible() {
			return b.assign(selection{target: c, reason: why}, all), nil
		}
	}
	return Choice{}, ErrNoTarget
}

// assign counts a request at the chosen target.
func (b *Balancer) assign(chosen selection, all []*candidate) Choice {
	st := chosen.target.status
	t := b.targets[fleet.TargetKey(st.Id, st.Incarnation)]
	c := Choice{Target: st, Reason: chosen.reason, InFlight: chosen.target.inFlight, StaleLoad: chosen.staleLoad}
	if chosen.holder != nil {
		c.Holder = chosen.holder.status
	}
	for _, other := range all {
		if other != chosen.target && other.eligible() && other.healthy {
			c.Alternatives++
		}
	}
	t.inFlight++
	t.health.recordSent()
	ended := false
	c.Done = func(o Outcome) { b.done(t, st, o, &ended) }
	return c
}

func (b *Balancer) done(t *target, st *pb.TargetStatus, o Outcome, ended *bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *ended {
		return
	}
	*ended = true
	t.inFlight--
	b.observe(t, st, o)
}

// observe takes the outcome of a request, and tells if the target is avoided for it
// or no longer.
func (b *Balancer) observe(t *target, st *pb.TargetStatus, o Outcome) {
	before, now := t.health, b.now()
	t.health.observe(now, o)
	switch after := &t.health; {
	case after.ejections > before.ejections:
		b.onHealth(HealthChange{Target: st, Ejected: true, FailureRate: after.failureRate, EjectedFor: after.ejectedUntil.Sub(now)})
	case after.ejections == 0 && before.ejections > 0:
		b.onHealth(HealthChange{Target: st, FailureRate: after.failureRate})
	}
}

// candidates lists the service's targets. Those of this data centre come first,
// in random order, so that they win among equals.
func (b *Balancer) candidates(now time.Time, r Request) []*candidate {
	var all []*candidate
	for _, st := range b.view.Targets() {
		if st.Service != r.Service {
			continue
		}
		t := b.target(now, st)
		all = append(all, &candidate{
			status:       st,
			inFlight:     t.inFlight + b.remoteLoads.inFlight(now, loadKey(st)),
			meanInFlight: max(float64(t.inFlight), b.remoteLoads.mean(now, loadKey(st))),
			capacity:     capacity(st, r.Slots),
			healthy:      t.health.available(now),
			degraded:     t.health.degraded(),
			leaving:      st.Leaving || t.leaving,
			pausedFor:    t.pausedUntil.Sub(now),
			excluded:     slices.Contains(r.Exclude, st.Id),
		})
	}
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	dataCentre := b.view.Self().DataCentre
	slices.SortStableFunc(all, func(x, y *candidate) int {
		return cmp.Compare(distance(x, dataCentre), distance(y, dataCentre))
	})
	return all
}

func distance(c *candidate, dataCentre string) int {
	if c.status.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// unknownCapacity stands for a target whose places are unknown.
const unknownCapacity = 1 << 20

func capacity(st *pb.TargetStatus, slots int) int {
	switch {
	case st.Capacity > 0:
		return int(st.Capacity)
	case slots > 0:
		return slots
	default:
		return unknownCapacity
	}
}

func (b *Balancer) target(now time.Time, st *pb.TargetStatus) *target {
	key := fleet.TargetKey(st.Id, st.Incarnation)
	t := b.targets[key]
	if t == nil {
		t = &target{}
		b.targets[key] = t
	}
	t.lastSeen = now
	return t
}

// choose places requests with a prompt by its key, others by load.
func (b *Balancer) choose(r Request, all []*candidate) selection {
	if r.Key != "" {
		return selectByPromptKey(r.Key, all)
	}
	return selectByLoad(all, b.view.Self().DataCentre, b.rng.Float64)
}

// sweep forgets targets that are in no view any more.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < targetRetention {
		return
	}
	b.lastSweep = now
	for key, t := range b.targets {
		if t.inFlight == 0 && now.Sub(t.lastSeen) > targetRetention {
			delete(b.targets, key)
		}
	}
	b.remoteLoads.sweep(now)
}

// LocalCounts returns the requests in flight here, and remembers that the other
// routers are told of them.
func (b *Balancer) LocalCounts() map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.localCountsLocked()
	b.remoteLoads.published = counts
	return counts
}

func (b *Balancer) localCountsLocked() map[uint32]int {
	counts := make(map[uint32]int)
	for key, t := range b.targets {
		if t.inFlight > 0 {
			counts[uint32(key)] = t.inFlight
		}
	}
	return counts
}

// AggregateCounts returns the requests in flight at all routers, as far as they are known
// here, and takes note of them as totals.
func (b *Balancer) AggregateCounts() map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	self := b.view.Self().Id
	sums := b.remoteLoads.aggregate(now, self, b.localCountsLocked())
	b.remoteLoads.applyTotals(now, self, sums)
	return sums
}

// ApplyCounts takes another router's requests in flight.
func (b *Balancer) ApplyCounts(router string, counts map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoads.applyCounts(b.now(), router, counts)
}

// ApplyTotals takes the requests in flight of all routers from a collector.
func (b *Balancer) ApplyTotals(collector string, counts map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoads.applyTotals(b.now(), collector, counts)
}
