// Package slots implements admission control for requests without a prompt, which are
// short. It assigns each admitted request a slot at a target of its service and rejects
// requests that would wait too long in a target's queue. One router, the owner of the
// service, admits the requests of all routers: it counts the requests at each target
// exactly, whereas the counts that routers exchange are older than the duration of such
// requests.
//
// The package has no clock, I/O or goroutine. It does not select the owner and does not
// check the health of targets.
package slots

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

const (
	// maxQueueWaitShare is the fraction of a request's latency objective that the
	// request may spend waiting in a target's queue.
	maxQueueWaitShare = 0.4
	// overdueQueueShare is the maximum length of the queue to which overdue requests
	// are admitted, as a fraction of the target's capacity.
	overdueQueueShare = 0.5
	// initialRunTimeShare is the run time assumed for a service before one was
	// measured, as a fraction of the latency objective.
	initialRunTimeShare = 0.2
	// runTimeEWMAWeight is the weight of the latest request in a service's mean run
	// time.
	runTimeEWMAWeight = 0.05
	// failedHoldFactor is how long the slot of a failed request is held after the
	// request was admitted, as a multiple of the expected run time. A target that
	// fails requests immediately would otherwise appear idle and attract requests.
	failedHoldFactor = 2
	// expireInterval is the minimum time between two scans for expired slots.
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
	// Goal is the latency objective of the request. Zero means that there is none; the
	// request is then admitted whatever the length of the targets' queues.
	Goal time.Duration
	// Overdue is set if the request can no longer meet its latency objective. It is
	// admitted only to a queue that is short enough not to delay other requests.
	Overdue bool
	// Priority is the urgency of the request; zero is the most urgent.
	Priority int
	// TTL is the time after which the slot expires unless it is released.
	TTL time.Duration
}

// Outcome is how an admitted request ended.
type Outcome int

// Outcomes.
const (
	// Unused: the request was not sent to the target, the target did not run it, or
	// its caller disconnected.
	Unused Outcome = iota
	// Served: the target responded.
	Served
	// Failed: the target was unreachable, failed the request or truncated its response.
	Failed
)

// Target is a target that can run requests of the service.
type Target struct {
	// Key identifies one incarnation of the target.
	Key uint32
	// Capacity is the number of requests that the target runs concurrently.
	Capacity int
}

// Admitter admits requests and counts the slots in use at each target. It is not safe
// for concurrent use.
type Admitter struct {
	slots map[SlotID]slot
	// counts holds the number of slots in use by Target.Key.
	counts map[uint32]int
	// meanRunTime is the moving average, by service, of the time that a request takes
	// at a target that has a free slot, without waiting in its queue.
	meanRunTime map[string]time.Duration
	// goals holds the shortest recent latency objective by service and priority.
	goals      map[string]urgentGoals
	nextExpiry time.Time
}

// slot is the slot of one admitted request.
type slot struct {
	request    Request
	target     uint32
	admittedAt time.Time
	expiresAt  time.Time
	// queued is set if the target had no free slot at the admission.
	queued bool
}

// New returns an Admitter that has admitted no requests.
func New() *Admitter {
	return &Admitter{slots: make(map[SlotID]slot), counts: make(map[uint32]int), meanRunTime: make(map[string]time.Duration), goals: make(map[string]urgentGoals)}
}

// Admit assigns the request a slot at the target with the fewest requests, of those
// whose queue is short enough for the request, and returns the key of the target. Of
// targets with equal numbers, the first in the list is selected. If no target is
// suitable, ok is false and the request must be rejected.
//
// Load shedding protects against load above the targets' capacity that lasts for
// seconds, and against callers that retry after a rejection. If all requests were
// admitted, each would be answered too late. Therefore the targets' queues are kept
// short, and overdue requests do not delay others.
func (a *Admitter) Admit(now time.Time, id SlotID, r Request, targets []Target) (key uint32, ok bool) {
	a.expire(now)
	a.remove(id)
	a.recordGoal(now, r)
	var best Target
	for _, t := range targets {
		n := a.counts[t.Key]
		if n < a.requestLimit(now, r, t.Capacity) && (!ok || n < a.counts[best.Key]) {
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

// requestLimit returns the number of requests, running and queued, below which a target
// of the given capacity may receive the request r.
func (a *Admitter) requestLimit(now time.Time, r Request, capacity int) int {
	switch {
	case r.Goal == 0:
		return math.MaxInt
	case r.Overdue:
		return capacity + int(overdueQueueShare*float64(capacity))
	}
	queueLength := maxQueueWaitShare * float64(a.urgentGoal(now, r)) / float64(a.expectedRunTime(r)) * float64(capacity)
	return capacity + max(1, int(queueLength))
}

// expectedRunTime returns the mean run time of the request's service, or an assumed one
// if none was measured.
func (a *Admitter) expectedRunTime(r Request) time.Duration {
	runTime := a.meanRunTime[r.Service]
	if runTime == 0 {
		runTime = time.Duration(initialRunTimeShare * float64(r.Goal))
	}
	return max(runTime, time.Millisecond)
}

// Release releases the slot of a request that has ended and returns the key of its
// target. The slot of a failed request is held longer, see failedHoldFactor. If the slot
// is not known, ok is false.
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

// recordRunTime updates the service's mean run time.
func (a *Admitter) recordRunTime(service string, runTime time.Duration) {
	mean := a.meanRunTime[service]
	if mean == 0 {
		a.meanRunTime[service] = runTime
		return
	}
	a.meanRunTime[service] = mean + time.Duration(runTimeEWMAWeight*float64(runTime-mean))
}

// expire removes the slots of failed requests whose hold time is over, and the slots that
// were not released within their TTL. It scans at most once per expireInterval.
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
