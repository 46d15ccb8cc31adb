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
	// waitShare is the part of a request's goal that it may wait in a target's queue.
	waitShare = 0.4
	// overdueShare is the part of a target's places that overdue requests may have
	// waiting behind them.
	overdueShare = 0.5
	// firstWorkShare is the part of the goal that a request is taken to last before
	// one was measured.
	firstWorkShare = 0.2
	// workWeight is the weight of the last request in the mean time of work.
	workWeight = 0.05
	// failedHold times the mean time of work is how long the place of a failed
	// request is held at least, so that a target that fails at once doesn't look
	// idle.
	failedHold = 2
	// expireInterval lies between two looks for places whose time has come.
	expireInterval = 10 * time.Millisecond
)

// Place identifies one admission: its router and the number that the router chose.
type Place struct {
	Router string
	Number uint64
}

// Ask is what an admission depends on.
type Ask struct {
	Service string
	// Goal is the time within which the request should be answered; zero for none,
	// which leaves queues to the targets.
	Goal time.Duration
	// Overdue requests can't be answered within their goal any more. They are
	// admitted only where they hold up no other.
	Overdue bool
	// Life is how long the place is held unless it is given back.
	Life time.Duration
}

// Ending is how an admitted request ended.
type Ending int

// Endings.
const (
	// Unused: the request did not go to the target, or its caller left.
	Unused Ending = iota
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

// Home counts the admitted requests of each target. It is not safe for concurrent
// use.
type Home struct {
	places map[Place]admitted
	counts map[uint32]int
	// work is the mean time that a request lasts at a target with a free place, by
	// service.
	work    map[string]time.Duration
	expires time.Time
}

// admitted is one admission.
type admitted struct {
	ask    Ask
	target uint32
	at     time.Time
	until  time.Time
	// waited tells that the target had no free place.
	waited bool
}

// New makes a home without requests.
func New() *Home {
	return &Home{places: make(map[Place]admitted), counts: make(map[uint32]int), work: make(map[string]time.Duration)}
}

// Admit chooses the target with the fewest requests, the first among equals, of those
// at which the request need not wait too long; false if there is none. The load
// that it answers: more requests than the targets serve for some seconds, and callers
// that come back when they were refused. Were all admitted, each would be answered
// too late; so the targets' queues are kept short, and callers that are late already
// don't hold up the others.
func (h *Home) Admit(now time.Time, p Place, a Ask, targets []Target) (key uint32, ok bool) {
	h.expire(now)
	h.drop(p)
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
	h.places[p] = admitted{ask: a, target: best.Key, at: now, until: now.Add(a.Life), waited: waited}
	h.counts[best.Key]++
	return best.Key, true
}

// limit returns the most requests that a target may have to be given one more.
func (h *Home) limit(a Ask, capacity int) int {
	switch {
	case a.Goal == 0:
		return math.MaxInt
	case a.Overdue:
		return capacity + int(overdueShare*float64(capacity))
	}
	waiting := waitShare * float64(a.Goal) / float64(h.workOf(a)) * float64(capacity)
	return capacity + max(1, int(waiting))
}

// workOf returns how long the request is expected to run.
func (h *Home) workOf(a Ask) time.Duration {
	work := h.work[a.Service]
	if work == 0 {
		work = time.Duration(firstWorkShare * float64(a.Goal))
	}
	return max(work, time.Millisecond)
}

// End gives the place of a request back and returns its target; false if it is not
// known.
func (h *Home) End(now time.Time, p Place, e Ending) (target uint32, ok bool) {
	a, ok := h.places[p]
	if !ok {
		return 0, false
	}
	if e == Failed {
		a.until = a.at.Add(failedHold * h.workOf(a.ask))
		h.places[p] = a
		h.expire(now)
		return a.target, true
	}
	h.drop(p)
	if e == Served && !a.waited {
		h.measure(a.ask.Service, now.Sub(a.at))
	}
	return a.target, true
}

// drop takes a place out of the count.
func (h *Home) drop(p Place) {
	a, ok := h.places[p]
	if !ok {
		return
	}
	delete(h.places, p)
	h.counts[a.target]--
	invariant.Check(h.counts[a.target] >= 0, "requests at a target", "target", a.target, "count", h.counts[a.target])
	if h.counts[a.target] == 0 {
		delete(h.counts, a.target)
	}
}

func (h *Home) measure(service string, took time.Duration) {
	mean := h.work[service]
	if mean == 0 {
		h.work[service] = took
		return
	}
	h.work[service] = mean + time.Duration(workWeight*float64(took-mean))
}

// expire drops places of failed requests, and those that were not given back.
func (h *Home) expire(now time.Time) {
	if now.Before(h.expires) {
		return
	}
	h.expires = now.Add(expireInterval)
	for p, a := range h.places {
		if now.After(a.until) {
			h.drop(p)
		}
	}
}
