// Package balance implements the router's load balancing. It selects a target for each
// request from the state known to this router: the announced targets, the outcomes of
// recent requests (outlier ejection), the requests in flight at this router, and the
// in-flight counts that the other routers report. Requests with a prompt are assigned
// by rendezvous hashing with bounded loads, other requests by weighted random choice.
// The package also holds the retry budget and the detector of teams whose load surges.
//
// The package sends no messages. Its callers exchange the counts between routers and
// report the outcome of each request.
package balance

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// targetRetention is how long the state of a target is kept after the target was
	// last a candidate or sent backpressure.
	targetRetention = 30 * time.Second
)

// Request holds the inputs of a selection.
type Request struct {
	Service string
	// Key identifies the longest prefix of the prompt that other requests share. It is
	// empty if the request has no prompt.
	Key string
	// Slots is the maximum number of requests that a target of the service runs
	// concurrently; zero if unknown. It applies to targets that announce no capacity.
	Slots int
	// Exclude lists the ids of the targets at which this request already failed.
	Exclude []string
	// Full lists the ids of the targets that have no memory for this request.
	Full []string
	// Only limits the selection to the targets with these ids; empty means no limit.
	Only []string
	// WithoutLimit excludes the targets that name a rate limit or are cold.
	WithoutLimit bool
	// Goal is the latency objective of the request.
	Goal time.Duration
	// Overdue is set if the request can no longer meet the latency objective.
	Overdue bool
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Priority is the urgency of the request; zero is the most urgent.
	Priority int
	// Cost describes the request for the estimate of its work.
	Cost cost.Request
}

// excludes reports whether the target with the given id may not be selected.
func (r Request) excludes(id string) bool {
	return slices.Contains(r.Exclude, id) || len(r.Only) > 0 && !slices.Contains(r.Only, id)
}

// Choice is the selected target with the data that led to its selection.
type Choice struct {
	Target *pb.TargetStatus
	Reason string
	// InFlight is the number of requests in flight at the target, without this one, as
	// known to this router.
	InFlight int
	// CacheHolder is another target that may have parts of the prompt cached, from which
	// they can be copied; nil if there is none.
	CacheHolder *pb.TargetStatus
	// Alternatives is the number of other healthy targets that accept the request.
	Alternatives int
	// StaleLoad is set if the target was selected at random by load, since the counts
	// behind such a selection are stale: older than the duration of a request without a
	// prompt.
	StaleLoad bool
	// FirstEvent records that the first event of the response has arrived, from which the
	// balancer learns the work of requests. It may be nil.
	FirstEvent func()
	// Done removes the request from the target's in-flight count and records its
	// outcome. Only the first call has an effect.
	Done func(Outcome)
	// Renew reports whether a request that was not sent at once may still be sent to the
	// target. If the target is cold, that takes a new permit. Renew is nil if any request may
	// be sent.
	Renew func(ctx context.Context) bool
}

// HealthChange reports that a target was ejected or readmitted.
type HealthChange struct {
	Target  *pb.TargetStatus
	Ejected bool
	// FailureRate is the exponentially weighted moving average (EWMA) of the target's
	// failures.
	FailureRate float64
	// EjectedFor is the duration of the ejection; zero for a readmission.
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
	// limits returns the rate limits that targets name, by load key.
	limits func() map[uint32]float64
	// coldRate has the meaning of SetCold.
	coldRate func(st *pb.TargetStatus) float64
	// evacuated reports whether a data centre is evacuated.
	evacuated func(dataCentre string) bool
	// demands counts the requests by service.
	demands map[string]*demand
	costs   costs
}

// target is this router's state for one incarnation of a target.
type target struct {
	inFlight int
	health   health
	lastSeen time.Time
	// pausedUntil is the end of the pause that the target requested from this router.
	pausedUntil time.Time
	// withheldUntil is the time until which the target is at the rate limit that it names.
	withheldUntil time.Time
	// leavingByResponse is set once a response of the target stated that the target
	// is leaving, which can be earlier than the view shows it.
	leavingByResponse bool
	// outstanding is the work that this router has in flight at the target.
	outstanding cost.Outstanding
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
		limits:      func() map[uint32]float64 { return nil },
		coldRate:    func(*pb.TargetStatus) float64 { return 0 },
		evacuated:   func(string) bool { return false },
		demands:     make(map[string]*demand),
	}
}

var (
	// ErrNoTarget means that the service has no known target that accepts requests and
	// at which the request has not failed.
	ErrNoTarget = errors.New("no target takes the request now")
	// ErrFull means that the owner of the service rejected the request, because every
	// target has as many requests as it can run within the latency objective. The
	// balancer itself never returns it.
	ErrFull = errors.New("all targets have as many requests as they can run within the latency objective")
)

// Pick selects a target for r and counts the request there until Choice.Done is
// called. It fails with a *PausedError or a *LimitedError if every target that could
// otherwise receive the request has requested a pause or is at its rate limit, and with
// ErrNoTarget if there is no such target.
func (b *Balancer) Pick(r Request) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.sweep(now)
	all := b.candidates(now, r)
	chosen := b.choose(r, all)
	if chosen.full {
		return Choice{}, &LimitedError{RetryAfter: fullRetryAfter, Full: true}
	}
	if chosen.target == nil {
		return Choice{}, noCandidateError(all)
	}
	return b.assign(r, chosen, all), nil
}

// PickTarget selects the target with the given load key, which the owner of the service
// selected for the request, and counts the request there. It fails with ErrNoTarget if
// the target is not in this router's view or does not accept the request.
func (b *Balancer) PickTarget(r Request, key uint32, reason string) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.candidates(b.now(), r)
	for _, c := range all {
		if LoadKey(c.status) == key && c.eligible() {
			return b.assign(r, selection{target: c, reason: reason}, all), nil
		}
	}
	return Choice{}, ErrNoTarget
}

// assign counts a request at the selected target and returns the choice.
func (b *Balancer) assign(r Request, chosen selection, all []*candidate) Choice {
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
	tracker := b.track(r, t, chosen)
	c.FirstEvent = sync.OnceFunc(tracker.firstEvent)
	t.inFlight++
	t.health.recordSent()
	ended := false
	c.Done = func(o Outcome) { b.done(t, st, o, &ended, tracker) }
	return c
}

// done implements Choice.Done.
func (b *Balancer) done(t *target, st *pb.TargetStatus, o Outcome, ended *bool, tracker *costTracker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *ended {
		return
	}
	*ended = true
	t.inFlight--
	tracker.end(o)
	b.observe(t, st, o)
}

// observe records the outcome of a request and notifies onHealth of an ejection or
// readmission that results from it.
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

// candidates returns the state of the service's targets. The targets of this router's
// data centre come first, then all others, each group in random order. The random order
// distributes the requests without a prompt among lightly loaded local targets.
func (b *Balancer) candidates(now time.Time, r Request) []*candidate {
	var all []*candidate
	limits := b.limits()
	for _, st := range b.view.Targets() {
		if st.Service != r.Service {
			continue
		}
		_, limited := limits[LoadKey(st)]
		t, coldRate := b.target(now, st), b.coldRate(st)
		all = append(all, &candidate{
			status:       st,
			inFlight:     t.inFlight + b.remoteLoads.inFlight(now, LoadKey(st)),
			meanInFlight: max(float64(t.inFlight), b.remoteLoads.mean(now, LoadKey(st))),
			capacity:     capacity(st, r.Slots),
			healthy:      t.health.available(now),
			degraded:     t.health.degraded(),
			leaving:      st.Leaving || t.leavingByResponse,
			evacuated:    b.evacuated(st.DataCentre),
			pausedFor:    t.pausedUntil.Sub(now),
			withheldFor:  t.withheldUntil.Sub(now),
			excluded:     r.excludes(st.Id) || (limited || coldRate > 0) && r.WithoutLimit,
			coldRate:     coldRate,
			memoryFull:   slices.Contains(r.Full, st.Id),
		})
	}
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	dataCentre := b.view.Self().DataCentre
	slices.SortStableFunc(all, func(x, y *candidate) int {
		return cmp.Compare(distance(x, dataCentre), distance(y, dataCentre))
	})
	return all
}

// distance is 0 for a target in the given data centre and 1 for any other.
func distance(c *candidate, dataCentre string) int {
	if c.status.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// unlimitedCapacity stands for an unknown capacity: the target announces none, and none
// is configured for the service. It is above any number of requests in flight.
const unlimitedCapacity = 1 << 20

// capacity returns the number of requests that a target runs concurrently: the announced
// one, or else slots, the configured one of the service.
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

// target returns the state of a target's present incarnation and adds it if missing.
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
	b.setColdWeights(b.now(), r.Service, all)
	b.setExpectations(b.now(), r, all)
	if r.Key != "" {
		b.setPromptWeights(b.now(), r.Service, all)
		return selectByPromptKey(r.Key, all)
	}
	return selectByLoad(all, b.view.Self().DataCentre, b.rng.Float64)
}

// sweep removes the state of targets that have no requests in flight and have not been
// used for targetRetention, and expired remote counts. It runs at most once per
// targetRetention.
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
	b.sweepCosts(now)
}

// LocalCounts returns the numbers of requests in flight from this router by load key,
// for the caller to send to the collectors. The balancer keeps the returned counts and
// subtracts them from the collectors' totals, which include them.
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

// AggregateCounts returns the numbers of requests in flight from all routers by load
// key: the sums of the received counts and this router's own. A collector sends them to
// all routers. AggregateCounts also applies the sums at this router, as ApplyTotals does
// at the others.
func (b *Balancer) AggregateCounts() map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	self := b.view.Self().Id
	sums := b.remoteLoads.aggregate(now, self, b.localCountsLocked())
	b.remoteLoads.applyTotals(now, self, sums)
	return sums
}

// ApplyCounts records another router's numbers of requests in flight by load key, or the
// given part of them.
func (b *Balancer) ApplyCounts(router string, part int, counts map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoads.applyCounts(b.now(), peerPart{router, part}, counts)
}

// ApplyTotals records the numbers of requests in flight from all routers by load key, as
// summed by a collector.
func (b *Balancer) ApplyTotals(collector string, counts map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoads.applyTotals(b.now(), collector, counts)
}
