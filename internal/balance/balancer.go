// Package balance selects a target for each request from the state known to this
// router: the announced targets, the outcomes of recent requests (outlier ejection),
// the requests in flight at this router, and the in-flight counts that the other
// routers report.
//
// The package sends no messages. Its callers exchange the counts between routers and
// report the outcome of each request.
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
	// targetRetention is how long the state of a target is kept after the target
	// disappeared from the view.
	targetRetention = 30 * time.Second
)

// Request holds the inputs of a selection.
type Request struct {
	Service string
	// Key identifies the longest prompt prefix that requests share; it is empty if the
	// request has no prompt.
	Key string
	// Slots is the maximum number of requests that a target of the service runs
	// concurrently; zero if unknown. It applies to targets that announce no capacity.
	Slots int
	// Exclude lists the ids of the targets at which this request already failed.
	Exclude []string
	// Goal is the latency objective of the request. Overdue is set if the objective
	// can no longer be met. MaxDuration is the time left until the request's deadline.
	Goal     time.Duration
	Overdue  bool
	TimeLeft time.Duration
}

// Choice is the selected target with the data that led to its selection.
type Choice struct {
	Target *pb.TargetStatus
	Reason string
	// InFlight is the number of requests in flight at the target, without this one, as
	// known to this router.
	InFlight int
	// CacheHolder is another target that may have parts of the prompt cached; nil if there
	// is none.
	CacheHolder *pb.TargetStatus
	// Alternatives is the number of other healthy targets that could run the request.
	Alternatives int
	// StaleLoad is set if the target was selected at random by load counts that are
	// older than the duration of a request without a prompt.
	StaleLoad bool
	// Done ends the request at the target and records its outcome. Only the first call
	// has an effect.
	Done func(Outcome)
}

// HealthChange reports that a target was ejected or readmitted.
type HealthChange struct {
	Target  *pb.TargetStatus
	Ejected bool
	// FailureRate is the exponentially weighted moving average of the target's
	// failures.
	FailureRate float64
	// EjectedFor is the duration of the ejection.
	EjectedFor time.Duration
}

// Balancer selects targets. It is safe for concurrent use.
type Balancer struct {
	view fleet.View
	now  func() time.Time
	// onHealth is called on each ejection and readmission, with mu held. It must not
	// block or call the balancer.
	onHealth func(HealthChange)

	mu          sync.Mutex
	rng         *rand.Rand
	targets     map[uint64]*target
	remoteLoads remoteLoads
	lastSweep   time.Time
}

// target is this router's state for one incarnation of a target.
type target struct {
	inFlight int
	health   health
	lastSeen time.Time
	// pausedUntil is the end of the pause that the target requested from this router.
	// leaving is set once a response of the target said that it leaves.
	pausedUntil       time.Time
	leavingByResponse bool
}

// New returns a balancer over the targets of view. onHealth may be nil.
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
	// ErrNoTarget means that the service has no known target that accepts requests and
	// is not excluded.
	ErrNoTarget = errors.New("no target takes the request now")
	// ErrFull means that every target has as many requests as it can run within the
	// latency objective.
	ErrFull = errors.New("all targets have as many requests as they can run within the latency objective")
)

// Pick selects a target for r and counts the request there until Choice.Done is
// called. It fails with ErrNoTarget, or with a *PausedError if all remaining targets
// requested a pause.
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

// PickTarget selects the target with the given load key, which another router chose
// for the request, and counts the request there. It fails with ErrNoTarget if the
// target is not in this router's view or does not accept the request.
func (b *Balancer) PickTarget(r Request, key uint32, reason string) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.candidates(b.now(), r)
	for _, c := range all {
		if loadKey(c.status) == key && c.eligible() {
			return b.assign(selection{target: c, reason: reason}, all), nil
		}
	}
	return Choice{}, ErrNoTarget
}

// assign counts a request at the selected target.
func (b *Balancer) assign(chosen selection, all []*candidate) Choice {
	st := chosen.target.status
	t := b.targets[fleet.TargetKey(st.Id, st.Incarnation)]
	c := Choice{Target: st, Reason: chosen.reason, InFlight: chosen.target.inFlight, StaleLoad: chosen.staleLoad}
	if chosen.cacheHolder != nil {
		c.CacheHolder = chosen.cacheHolder.status
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

// done ends a request at a target and records its outcome.
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

// observe records the outcome of a request and reports an ejection or readmission that
// results from it to onHealth.
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

// candidates lists the service's targets. The targets of this router's data centre
// come first, each group in random order, so that a local target wins among equals.
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
			leaving:      st.Leaving || t.leavingByResponse,
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

// unlimitedCapacity is used for a target that announces no capacity if the service has
// no configured one either.
const unlimitedCapacity = 1 << 20

func capacity(st *pb.TargetStatus, slots int) int {
	switch {
	case st.Capacity > 0:
		return int(st.Capacity)
	case slots > 0:
		return slots
	default:
		return unlimitedCapacity
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

// choose selects by prompt key if the request has one, and by load otherwise.
func (b *Balancer) choose(r Request, all []*candidate) selection {
	if r.Key != "" {
		return selectByPromptKey(r.Key, all)
	}
	return selectByLoad(all, b.view.Self().DataCentre, b.rng.Float64)
}

// sweep removes the state of targets that are in no view any more.
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

// LocalCounts returns the requests in flight from this router by load key. It stores
// them as the counts last published, which inFlight subtracts from the totals of a
// collector.
func (b *Balancer) LocalCounts() map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.localCountsLocked()
	b.remoteLoads.lastPublished = counts
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

// AggregateCounts returns the requests in flight from all routers, summed over the
// counts that this router has received and its own. It applies the sums as totals of
// this router, which acts as a collector.
func (b *Balancer) AggregateCounts() map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	self := b.view.Self().Id
	sums := b.remoteLoads.aggregate(now, self, b.localCountsLocked())
	b.remoteLoads.applyTotals(now, self, sums)
	return sums
}

// ApplyCounts stores the requests in flight that another router reports.
func (b *Balancer) ApplyCounts(router string, counts map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoads.applyCounts(b.now(), router, counts)
}

// ApplyTotals stores the requests in flight of all routers as summed by a collector.
func (b *Balancer) ApplyTotals(collector string, counts map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoads.applyTotals(b.now(), collector, counts)
}
