// Package slots admits the requests without a prompt of a service to its targets. One
// router, the owner of the service, admits them for all routers: it counts the
// requests at each target exactly, whereas the counts that routers exchange are older
// than the duration of such requests.
//
// The package has no clock, I/O or goroutine. It does not choose the owner and does
// not check the health of targets.
package slots

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

const (
	// maxQueueWaitShare is the fraction of a request's latency objective that it may wait
	// in a target's queue.
	maxQueueWaitShare = 0.4
	// overdueQueueShare bounds the queue at a target for overdue requests, as a
	// fraction of the target's capacity.
	overdueQueueShare = 0.5
	// initialRunTimeShare is the run time assumed before one was measured, as a
	// fraction of the latency objective.
	initialRunTimeShare = 0.2
	// runTimeEWMAWeight is the weight of the latest request in the mean run time.
	runTimeEWMAWeight = 0.05
	// failedHoldFactor times the expected run time is the time after its admission for
	// which the slot of a failed request is held, so that a target that fails requests
	// immediately does not appear idle.
	failedHoldFactor = 2
	// expireInterval is the minimum time between two searches for expired slots.
	expireInterval = 10 * time.Millisecond
)

// SlotID identifies the slot of one admitted request by its router and a number that
// the router assigns.
type SlotID struct {
	Router string
	Number uint64
}

// Request holds the inputs of an admission.
type Request struct {
	Service string
	// Goal is the latency objective of the request. If it is zero, the admission does
	// not limit the targets' queues.
	Goal time.Duration
	// Overdue is set if the request can no longer meet its objective. It is admitted
	// only where the queue is short enough not to delay other requests.
	Overdue bool
	// TTL is how long the slot is held unless it is released.
	TTL time.Duration
}

// Outcome is how an admitted request ended.
type Outcome int

// Outcomes.
const (
	// Unused: the request was not sent to the target, or its caller disconnected.
	Unused Outcome = iota
	Served
	Failed
)

// Target is a target that can run requests of the service.
type Target struct {
	// Key identifies one incarnation of the target.
	Key uint32
	// Capacity is the number of requests that the target runs concurrently.
	Capacity int
}

// Admitter counts the admitted requests of each target. It is not safe for concurrent
// use.
type Admitter struct {
	slots  map[SlotID]slot
	counts map[uint32]int
	// meanRunTime is the moving average, by service, of the time that a request takes
	// at a target with a free slot.
	meanRunTime map[string]time.Duration
	nextExpiry  time.Time
}

// slot is one admitted request.
type slot struct {
	request    Request
	target     uint32
	admittedAt time.Time
	expiresAt  time.Time
	// queued is set if the target had no free slot at the admission.
	queued bool
}

// New returns an Admitter without requests.
func New() *Admitter {
	return &Admitter{slots: make(map[SlotID]slot), counts: make(map[uint32]int), meanRunTime: make(map[string]time.Duration)}
}

// Admit selects the target with the fewest requests, the first among equals, whose
// queue is shorter than the limit for the request, and returns its key. It reports
// false if there is none.
//
// Admission protects against load above the targets' capacity that lasts for seconds,
// and against callers that retry after a rejection. If all requests were admitted,
// each would be answered too late. Therefore the targets' queues are kept short, and
// overdue requests do not delay others.
func (a *Admitter) Admit(now time.Time, id SlotID, r Request, targets []Target) (key uint32, ok bool) {
	a.expire(now)
	a.remove(id)
	var best Target
	for _, t := range targets {
		n := a.counts[t.Key]
		if n < a.requestLimit(r, t.Capacity) && (!ok || n < a.counts[best.Key]) {
			best, ok = t, true
		}
	}
	if !ok {
		return 0, false
	}
	queued := a.counts[best.Key] >= best.Capacity
	a.slots[id] = slot{request: r, target: best.Key, admittedAt: now, expiresAt: now.Add(r.TTL), queued: queued}
	a.counts[best.Key]++
	return best.Key, true
}

// requestLimit returns the number of requests below which a target may receive another one.
func (a *Admitter) requestLimit(r Request, capacity int) int {
	switch {
	case r.Goal == 0:
		return math.MaxInt
	case r.Overdue:
		return capacity + int(overdueQueueShare*float64(capacity))
	}
	queueLength := maxQueueWaitShare * float64(r.Goal) / float64(a.expectedRunTime(r)) * float64(capacity)
	return capacity + max(1, int(queueLength))
}

// expectedRunTime returns how long the request is expected to run.
func (a *Admitter) expectedRunTime(r Request) time.Duration {
	runTime := a.meanRunTime[r.Service]
	if runTime == 0 {
		runTime = time.Duration(initialRunTimeShare * float64(r.Goal))
	}
	return max(runTime, time.Millisecond)
}

// Release ends a request and returns the key of its target. The slot of a failed
// request is held longer, see failedHoldFactor. Release reports false if the slot is
// not known.
func (a *Admitter) Release(now time.Time, id SlotID, outcome Outcome) (target uint32, ok bool) {
	s, ok := a.slots[id]
	if !ok {
		return 0, false
	}
	if outcome == Failed {
		s.expiresAt = s.admittedAt.Add(failedHoldFactor * a.expectedRunTime(s.request))
		a.slots[id] = s
		a.expire(now)
		return s.target, true
	}
	a.remove(id)
	if outcome == Served && !s.queued {
		a.recordRunTime(s.request.Service, now.Sub(s.admittedAt))
	}
	return s.target, true
}

// remove deletes a slot and decrements the count of its target.
func (a *Admitter) remove(id SlotID) {
	s, ok := a.slots[id]
	if !ok {
		return
	}
	delete(a.slots, id)
	a.counts[s.target]--
	invariant.Check(a.counts[s.target] >= 0, "requests at a target", "target", s.target, "count", a.counts[s.target])
	if a.counts[s.target] == 0 {
		delete(a.counts, s.target)
	}
}

func (a *Admitter) recordRunTime(service string, runTime time.Duration) {
	mean := a.meanRunTime[service]
	if mean == 0 {
		a.meanRunTime[service] = runTime
		return
	}
	a.meanRunTime[service] = mean + time.Duration(runTimeEWMAWeight*float64(runTime-mean))
}

// expire removes the expired slots: those of failed requests after their hold time,
// and those that were never released.
func (a *Admitter) expire(now time.Time) {
	if now.Before(a.nextExpiry) {
		return
	}
	a.nextExpiry = now.Add(expireInterval)
	for id, s := range a.slots {
		if now.After(s.expiresAt) {
			a.remove(id)
		}
	}
}
