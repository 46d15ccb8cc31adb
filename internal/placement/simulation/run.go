package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// The size of the simulated fleet.
const (
	routerCount = 9
	engineCount = 12
	// meanRate is the number of requests per second in the trace without a surge; it
	// keeps about 60% of the engines' slots busy.
	meanRate    = 26
	maxAttempts = 4
)

// run is one pass of a trace through one strategy in one scenario.
type run struct {
	scenario  Scenario
	strategy  strategy
	rng       *rand.Rand
	trace     []request
	engines   []*engine
	index     map[string]int
	inFlight  map[uint64]*request
	now       time.Duration
	events    eventHeap
	lastEvent uint64
	results   Result
	waits     []time.Duration
	// firstTokens are the waiting times including the time to compute the prefix.
	firstTokens []time.Duration
	skews       []float64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// schedule calls do at the virtual time when.
func (r *run) schedule(when time.Duration, do func()) {
	r.lastEvent++
	heap.Push(&r.events, event{at: when, seq: r.lastEvent, do: do})
}

func (r *run) every(interval time.Duration, do func()) {
	for when := interval; when < traceLength; when += interval {
		r.schedule(when, do)
	}
}

// Measure runs the trace of a seed through one variant and returns its results.
func Measure(seed uint64, variant Variant, scenario Scenario) Result {
	r := &run{
		scenario: scenario,
		rng:      rand.New(rand.NewPCG(seed, 3)),
		trace:    newTrace(seed, meanRate, routerCount, scenario.Surge),
		index:    make(map[string]int),
		inFlight: make(map[uint64]*request),
	}
	for i := range engineCount {
		id := fmt.Sprint("engine-", i)
		r.engines = append(r.engines, newEngine(id))
		r.index[id] = i
	}
	r.strategy = variant.make(r)
	r.strategy.tick()
	for i := range r.trace {
		q := &r.trace[i]
		r.schedule(q.arrival, func() { r.submit(q) })
	}
	r.every(reportInterval, r.sampleEngines)
	r.every(refreshInterval, r.strategy.tick)
	r.every(eventInterval, r.publishCacheEvents)
	r.scheduleFaults()
	for r.events.Len() > 0 {
		next := heap.Pop(&r.events).(event)
		if next.at >= traceLength {
			break
		}
		r.now = next.at
		next.do()
	}
	return r.computeResults()
}

func (r *run) submit(q *request) {
	if q.attempts >= maxAttempts {
		q.refused = true
		return
	}
	q.attempts++
	r.strategy.submit(q)
}

// start sends an admitted request to an engine.
func (r *run) start(q *request, i int) {
	e := r.engines[i]
	q.engine = i
	r.inFlight[q.id] = q
	r.checkBound(e)
	q.hit = e.hasCached(q.chat)
	e.cachePrefix(q.chat)
	if e.running < engineCapacity {
		r.begin(e, q)
		return
	}
	e.queue = append(e.queue, q)
}

func (r *run) begin(e *engine, q *request) {
	e.running++
	q.started = r.now
	q.running = true
	r.recordStart(q)
	length := q.runTime
	if !q.hit {
		length += q.prefill
	}
	cancels := q.cancels
	r.schedule(r.now+length, func() {
		if q.cancels == cancels {
			r.end(e, q)
		}
	})
}

func (r *run) end(e *engine, q *request) {
	q.done = true
	q.running = false
	delete(r.inFlight, q.id)
	e.running--
	r.startQueued(e)
	r.strategy.release(q)
}

// cancel removes the matching requests in flight from their engines.
func (r *run) cancel(which func(*request) bool) []*request {
	var cancelled []*request
	for i := range r.trace {
		if q := &r.trace[i]; r.inFlight[q.id] == q && which(q) {
			cancelled = append(cancelled, q)
		}
	}
	for _, q := range cancelled {
		q.cancels++
		delete(r.inFlight, q.id)
		e := r.engines[q.engine]
		if q.running {
			q.running = false
			e.running--
		}
		e.queue = slices.DeleteFunc(e.queue, func(o *request) bool { return o == q })
	}
	for _, e := range r.engines {
		r.startQueued(e)
	}
	return cancelled
}

// startQueued starts the requests queued at an engine while it has free capacity.
func (r *run) startQueued(e *engine) {
	for len(e.queue) > 0 && e.running < engineCapacity {
		next := e.queue[0]
		e.queue = e.queue[1:]
		r.begin(e, next)
	}
}

// failRouter stops a router. Its directory and the requests of its callers are lost;
// the callers send them again to other routers.
func (r *run) failRouter() {
	dead := r.strategy.mostCriticalRouter()
	lost := r.strategy.failRouter(dead)
	lost = append(lost, r.cancel(func(q *request) bool { return q.entry == dead })...)
	for i := range r.trace {
		if q := &r.trace[i]; q.entry == dead {
			q.entry = (dead + 1 + i%(routerCount-1)) % routerCount
		}
	}
	r.strategy.failOver(dead)
	for _, q := range lost {
		r.submit(q)
	}
}

// queuedRequests returns the matching requests that wait for admission.
func (r *run) queuedRequests(which func(*request) bool) []*request {
	var waiting []*request
	for i := range r.trace {
		q := &r.trace[i]
		if q.attempts > 0 && !q.done && !q.refused && r.inFlight[q.id] != q && which(q) {
			waiting = append(waiting, q)
		}
	}
	return waiting
}

// sampleEngines schedules the engines' load reports and samples the skew.
func (r *run) sampleEngines() {
	for i, e := range r.engines {
		if !e.present || !e.announced {
			continue
		}
		lag := reportLag
		if r.scenario.LateReports {
			lag = lateReportLag
			if r.rng.IntN(3) == 0 {
				continue
			}
		}
		load := e.inFlight()
		r.schedule(r.now+lag, func() { r.strategy.report(i, load) })
	}
	r.sampleSkew()
}

// publishCacheEvents sends the engines' cache events with a delay; some batches are
// lost.
func (r *run) publishCacheEvents() {
	for i, e := range r.engines {
		events, from := e.events, e.nextSequence
		e.nextSequence += uint64(len(events))
		e.events = nil
		if len(events) == 0 || r.rng.Float64() < eventLoss {
			continue
		}
		incarnation := e.incarnation
		r.schedule(r.now+eventInterval, func() {
			if e.incarnation != incarnation || !r.strategy.cacheEvents(i, incarnation, from, events) {
				return
			}
			snapshot := e.snapshot()
			first := e.nextSequence
			e.nextSequence += uint64(len(snapshot))
			e.events = nil
			r.strategy.cacheEvents(i, incarnation, first, snapshot)
		})
	}
}

// fleetLoad returns the number of eligible engines, the requests in flight at all of them,
// and those at the busiest one.
func (r *run) fleetLoad() (eligible, total, busiest int) {
	for _, e := range r.engines {
		if !e.eligible() {
			continue
		}
		eligible++
		total += e.inFlight()
		busiest = max(busiest, e.inFlight())
	}
	return eligible, total, busiest
}

// checkBound counts an admission that takes an engine over the load bound, by the true
// loads at that time.
func (r *run) checkBound(e *engine) {
	if r.now < warmUp {
		return
	}
	n, total, _ := r.fleetLoad()
	r.results.Admissions++
	if e.eligible() && !placement.WithinLoadLimit(placement.DefaultBoundFactor, e.inFlight()+1, total+1, n) {
		r.results.OverBound++
		r.results.MaxOverBound = max(r.results.MaxOverBound, e.inFlight()+1-placement.LoadLimit(placement.DefaultBoundFactor, total+1, n))
	}
}
