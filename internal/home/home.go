// Package home admits requests without a prompt to the targets of a service. One
// router, the service's home, does so for all: it counts exactly what each target
// has, where counts that routers tell each other are older than such requests last.
// It has no clock, I/O or goroutine.
package home

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

const (
	// queueWaitShare is the part of a request's goal that it may wait in a target's queue.
	queueWaitShare = 0.4
	// overdueQueueShare is the part of a target's places that overdue requests may have
	// waiting behind them.
	overdueQueueShare = 0.5
	// initialRunTimeShare is the part of the goal that a request is taken to last before
	// one was measured.
	initialRunTimeShare = 0.2
	// runTimeEWMAWeight is the weight of the last request in the mean time of work.
	runTimeEWMAWeight = 0.05
	// failedHoldFactor times the mean time of work is how long the place of a failed
	// request is held at least, so that a target that fails at once doesn't look
	// idle.
	failedHoldFactor = 2
	// expireInterval lies between two looks for places whose time has come.
	expireInterval = 10 * time.Millisecond
)

// SlotID identifies one admission: its router and the number that the router chose.
type SlotID struct {
	Router string
	Number uint64
}

// Request is what an admission depends on.
type Request struct {
	Service string
	// Goal is the time within which the request should be answered; zero for none,
	// which leaves queues to the targets.
	Goal time.Duration
	// Overdue requests can't be answered within their goal any more. They are
	// admitted only where they hold up no other.
	Overdue bool
	// TTL is how long the place is held unless it is given back.
	TTL time.Duration
}

// Outcome is how an admitted request ended.
type Outcome int

// Endings.
const (
	// Unused: the request did not go to the target, or its caller left.
	Unused Outcome = iota
	Served
	Failed
)

// Target can take requests of the service.
type Target struct {
	// Key stands for one incarnation of the target.
	Key uint32
	// Capacity is the number of requests that it runs at once.
	Capacity int
}

// Admitter counts the admitted requests of each target. It is not safe for concurrent
// use.
type Admitter struct {
	slots  map[SlotID]slot
	counts map[uint32]int
	// meanRunTime is the mean time that a request lasts at a target with a free place, by
	// service.
	meanRunTime map[string]time.Duration
	nextExpiry  time.Time
}

// slot is one admission.
type slot struct {
	request    Request
	target     uint32
	admittedAt time.Time
	expiresAt  time.Time
	// queued tells that the target had no free place.
	queued bool
}

// New makes a home without requests.
func New() *Admitter {
	return &Admitter{slots: make(map[SlotID]slot), counts: make(map[uint32]int), meanRunTime: make(map[string]time.Duration)}
}

// Admit chooses the target with the fewest requests, the first among equals, of those
// at which the request need not wait too long; false if there is none. The load
// that it answers: more requests than the targets serve for some seconds, and callers
// that come back when they were refused. Were all admitted, each would be answered
// too late; so the targets' queues are kept short, and callers that are late already
// don't hold up the others.
func (h *Admitter) Admit(now time.Time, p SlotID, a Request, targets []Target) (key uint32, ok bool) {
	h.expire(now)
	h.remove(p)
	var best Target
	for _, t := range targets {
		n := h.counts[t.Key]
		if n < h.limit(a, t.Capacity) && (!ok || n < h.counts[best.Key]) {
			best, ok = t, true
		}
	}
	if !ok {
		return 0, false
	}
	waited := h.counts[best.Key] >= best.Capacity
	h.slots[p] = slot{request: a, target: best.Key, admittedAt: now, expiresAt: now.Add(a.TTL), queued: waited}
	h.counts[best.Key]++
	return best.Key, true
}

// limit returns the most requests that a target may have to be given one more.
func (h *Admitter) limit(a Request, capacity int) int {
	switch {
	case a.Goal == 0:
		return math.MaxInt
	case a.Overdue:
		return capacity + int(overdueQueueShare*float64(capacity))
	}
	waiting := queueWaitShare * float64(a.Goal) / float64(h.expectedRunTime(a)) * float64(capacity)
	return capacity + max(1, int(waiting))
}

// expectedRunTime returns how long the request is expected to run.
func (h *Admitter) expectedRunTime(a Request) time.Duration {
	work := h.meanRunTime[a.Service]
	if work == 0 {
		work = time.Duration(initialRunTimeShare * float64(a.Goal))
	}
	return max(work, time.Millisecond)
}

// Release gives the place of a request back and returns its target; false if it is not
// known.
func (h *Admitter) Release(now time.Time, p SlotID, e Outcome) (target uint32, ok bool) {
	a, ok := h.slots[p]
	if !ok {
		return 0, false
	}
	if e == Failed {
		a.expiresAt = a.admittedAt.Add(failedHoldFactor * h.expectedRunTime(a.request))
		h.slots[p] = a
		h.expire(now)
		return a.target, true
	}
	h.remove(p)
	if e == Served && !a.queued {
		h.recordRunTime(a.request.Service, now.Sub(a.admittedAt))
	}
	return a.target, true
}

// remove takes a place out of the count.
func (h *Admitter) remove(p SlotID) {
	a, ok := h.slots[p]
	if !ok {
		return
	}
	delete(h.slots, p)
	h.counts[a.target]--
	invariant.Check(h.counts[a.target] >= 0, "requests at a target", "target", a.target, "count", h.counts[a.target])
	if h.counts[a.target] == 0 {
		delete(h.counts, a.target)
	}
}

func (h *Admitter) recordRunTime(service string, took time.Duration) {
	mean := h.meanRunTime[service]
	if mean == 0 {
		h.meanRunTime[service] = took
		return
	}
	h.meanRunTime[service] = mean + time.Duration(runTimeEWMAWeight*float64(took-mean))
}

// expire drops places of failed requests, and those that were not given back.
func (h *Admitter) expire(now time.Time) {
	if now.Before(h.nextExpiry) {
		return
	}
	h.nextExpiry = now.Add(expireInterval)
	for p, a := range h.slots {
		if now.After(a.expiresAt) {
			h.remove(p)
		}
	}
}
