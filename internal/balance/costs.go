package balance

import (
	"fmt"
	"maps"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// riskyGoal is the fraction of the latency objective from which on an expected delay puts
	// the objective at risk. The paces and counts that a router knows are about 0.3 s old, and a
	// slow target delays the events of all its requests, so a target is avoided long before a
	// first event is expected to be late. A fraction of 0.2 left more responses late.
	riskyGoal = 0.1
	// clearlyWorse is the factor by which the delay at a target must exceed that at a lower
	// ranked one for the target to be passed over. It is also the pace from which on a target
	// counts as slow for requests without a prompt.
	clearlyWorse = 1.25
	// maxCostChoices is the number of highest ranked targets among which cost decides. With
	// more, the parts of a prompt would be cached at more targets.
	maxCostChoices = 3
	// maxCostServices bounds the services whose costs are learned.
	maxCostServices = 256
)

// costs holds what is learned about the work of requests and the pace of targets.
type costs struct {
	services map[string]*cost.Estimator
	paces    cost.Paces
	// onEstimate is called with the expected and the observed time to the first event of a
	// request, with the balancer's mu held. It may be nil.
	onEstimate func(expected, observed time.Duration)
}

// expectation is what is expected of one target for one request.
type expectation struct {
	pace float64
	// first is the time to the first event if the target has the shared parts of the prompt
	// cached, and reread the time to read them otherwise.
	first  time.Duration
	reread time.Duration
	// goal is the latency objective of the request.
	goal time.Duration
}

// estimator returns the estimator of a service, nil if there are too many services.
func (c *costs) estimator(service string) *cost.Estimator {
	e := c.services[service]
	if e == nil && len(c.services) < maxCostServices {
		if c.services == nil {
			c.services = make(map[string]*cost.Estimator)
		}
		e = &cost.Estimator{}
		c.services[service] = e
	}
	return e
}

// setExpectations sets the expectations of the candidates. It sets none while no target reports
// its pace or too little is learned; the selection is then by numbers of requests only.
func (b *Balancer) setExpectations(now time.Time, r Request, all []*candidate) {
	e := b.costs.services[r.Service]
	if e == nil || r.Goal <= 0 || !b.costs.paces.Active(now) {
		return
	}
	work := e.Work(r.Cost)
	if !work.Known {
		return
	}
	for _, c := range all {
		pace := b.costs.paces.Pace(now, LoadKey(c.status))
		t := b.targets[fleet.TargetKey(c.status.Id, c.status.Incarnation)]
		first := expectedFirst(e, work, r, c.inFlight) + t.outstanding.Reading(now, pace)
		c.expected = &expectation{pace: pace, first: scale(first, pace), reread: scale(work.Reread, pace), goal: r.Goal}
	}
}

// expectedFirst returns the time to the first event at a target of usual pace that has the shared
// parts of the prompt cached. Without a prompt, it is the work of the path.
func expectedFirst(e *cost.Estimator, work cost.Work, r Request, inFlight int) time.Duration {
	if r.Key == "" {
		return work.Run
	}
	return e.Wait(inFlight) + work.Read
}

// scale returns d multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// delay returns the expected time to the first event at a target of the given rank, from zero. Only
// the highest ranked one is expected to have the shared parts of the prompt cached.
func (e *expectation) delay(rank int) time.Duration {
	if rank == 0 {
		return e.first
	}
	return e.first + e.reread
}

// chooseBelowBound returns the first of the ranked targets that is below its load bound, and the
// target that is chosen. The first one is chosen unless it puts the latency objective at risk and
// its expected delay is clearly worse than that of one of the next targets, which would have to
// read the shared parts again. Without expectations the first one is chosen. Both are nil if no
// target is below the bound.
func chooseBelowBound(ranked []*candidate, bound func(*candidate) int) (first, chosen *candidate) {
	var least time.Duration
	for rank, c := range ranked {
		switch {
		case c.inFlight >= bound(c):
			continue
		case first == nil:
			first, chosen = c, c
			if c.expected == nil || !c.expected.atRisk() {
				return first, chosen
			}
			least = scale(c.expected.delay(rank), 1/clearlyWorse)
		case rank >= maxCostChoices:
			return first, chosen
		case c.expected.delay(rank) < least:
			chosen, least = c, c.expected.delay(rank)
		}
	}
	return first, chosen
}

// costReason returns the reason for which the first choice was passed over for another target.
func costReason(first, chosen *candidate) string {
	return fmt.Sprintf("first choice %s is slower: first event in %d ms at pace %.2f, here in %d ms at pace %.2f",
		first.status.Id, first.expected.first.Milliseconds(), first.expected.pace,
		chosen.expected.delay(1).Milliseconds(), chosen.expected.pace)
}

// atRisk reports whether a first event within the objective is at risk.
func (e *expectation) atRisk() bool { return e.first > scale(e.goal, riskyGoal) }

// slow reports whether a request without a prompt must compare this target with others, although it
// is lightly loaded.
func (c *candidate) slow() bool {
	return c.expected != nil && c.expected.pace >= clearlyWorse && c.expected.atRisk()
}

// paceWeight returns the factor by which the pace of the target changes its weight in the random
// choice for requests without a prompt.
func (c *candidate) paceWeight() float64 {
	if c.expected == nil || !c.expected.atRisk() {
		return 1
	}
	return 1 / c.expected.pace
}

// costTracker observes the times of one request for the estimates.
type costTracker struct {
	b        *Balancer
	request  Request
	status   *pb.TargetStatus
	inFlight int
	pace     float64
	uncached bool
	expected time.Duration
	sentAt   time.Time
	firstAt  time.Time
	remove   func()
}

// track begins to observe a request that is sent to the selected target.
func (b *Balancer) track(r Request, t *target, chosen selection) *costTracker {
	now, st := b.now(), chosen.target.status
	c := &costTracker{b: b, request: r, status: st, inFlight: chosen.target.inFlight, sentAt: now, remove: func() {}}
	c.pace = b.costs.paces.Pace(now, LoadKey(st))
	c.uncached = chosen.uncached
	if e := b.costs.services[r.Service]; e != nil {
		if work := e.Work(r.Cost); work.Known {
			read, first := work.Read, expectedFirst(e, work, r, c.inFlight)
			if c.uncached {
				read += work.Reread
				first += work.Reread
			}
			c.expected = scale(first, c.pace)
			c.remove = t.outstanding.Add(now, read)
		}
	}
	return c
}

// firstEvent records the first event of the response.
func (c *costTracker) firstEvent() {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.firstAt = c.b.now()
	c.remove()
}

// end records the end of the request and learns from it if it was served. The caller holds mu.
func (c *costTracker) end(o Outcome) {
	c.remove()
	if o != Served || c.firstAt.IsZero() {
		return
	}
	e := c.b.costs.estimator(c.request.Service)
	if e == nil {
		return
	}
	first := c.firstAt.Sub(c.sentAt)
	e.Observe(c.request.Cost, cost.Observation{
		FirstEvent: first,
		Run:        c.b.now().Sub(c.firstAt),
		InFlight:   c.inFlight,
		Pace:       c.pace,
		Uncached:   c.uncached,
	})
	if c.expected <= 0 {
		return
	}
	c.b.costs.paces.Check(LoadKey(c.status), c.pace*float64(first)/float64(c.expected))
	if c.b.costs.onEstimate != nil {
		c.b.costs.onEstimate(c.expected, first)
	}
}

// SetOnEstimate sets the function that is called with the expected and the observed time to the
// first event of each served request. It must not block or call the balancer.
func (b *Balancer) SetOnEstimate(f func(expected, observed time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.costs.onEstimate = f
}

// ObservePace records the pace that a target has reported in a response: the time that work takes
// there, in percent of the usual time. It reports whether the pace has changed between usual and
// unusual, which the other routers should learn at once.
func (b *Balancer) ObservePace(target *pb.TargetStatus, percent int) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.costs.paces.Observe(cost.Report{Target: LoadKey(target), Percent: percent, At: b.now()})
}

// LearnPaces records the paces of targets that another router has sent.
func (b *Balancer) LearnPaces(reports []cost.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		b.costs.paces.Learn(b.now(), r)
	}
}

// SeenPaces returns at most n paces of targets to send with the next in-flight counts: the
// unusual ones that this router has seen since the last call, or, for a collector, that it has
// learned since then.
func (b *Balancer) SeenPaces(collector bool, n int) []cost.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if collector {
		return b.costs.paces.TakeLearned(b.now(), n)
	}
	return b.costs.paces.TakeSeen(b.now(), n)
}

// HasUnsentPaces reports whether this router has reports of paces to send to the collectors.
func (b *Balancer) HasUnsentPaces() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.costs.paces.Pending()
}

// UnusualPaces returns the number of targets whose pace is known to be unusual.
func (b *Balancer) UnusualPaces() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.costs.paces.Unusual(b.now())
}

// sweepCosts removes the paces of targets that report nothing, and the estimates of services
// without targets.
func (b *Balancer) sweepCosts(now time.Time) {
	b.costs.paces.Sweep(now)
	services := make(map[string]bool)
	for _, st := range b.view.Targets() {
		services[st.Service] = true
	}
	maps.DeleteFunc(b.costs.services, func(name string, _ *cost.Estimator) bool { return !services[name] })
}
