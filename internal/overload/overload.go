// Package overload decides which requests a service of engines rejects while it has more
// requests than its engines can serve in time: the least urgent kind first, and within a
// kind the team furthest above its fair share first. Engines queue requests and start them
// by priority, so the queue that they have tells how far the load exceeds their capacity.
//
// The package has no clock, I/O, goroutine or random numbers. It knows what one router
// knows: the requests in flight at each target, which are up to some hundred milliseconds
// old, and what the router's own requests experienced.
package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// calmShare is the part of the slots below which nothing is rejected.
	calmShare = 0.5
	// queueGoalShare is the part of a kind's latency objective that a request may spend
	// in the queue of an engine.
	queueGoalShare = 0.1
	// minQueue and maxQueue bound the queue at which a kind begins to be rejected, as a part
	// of the slots.
	minQueue = 0.04
	maxQueue = 0.3
	// rampWidth is the growth of the queue, as a part of the slots, over which the rejected
	// part of a kind rises from nothing to everything. A hard limit oscillates, since the
	// counts are 150 to 300 ms old.
	rampWidth = 0.12
	// partWeight is the weight of the latest decision in kind.rejectedPart.
	partWeight = 0.08
	// floorShare is the part of the service's ratio of admitted requests that each kind and
	// team gets at least. Each must be served at least a quarter as often as all; floorShare
	// is higher, since some of the admitted requests are not served.
	floorShare = 0.27
	// firstEventTTL is how long an observed time to the first event is valid.
	firstEventTTL = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller may return.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Request holds the inputs of a decision.
type Request struct {
	Service string
	// Priority is the urgency; zero is the most urgent.
	Priority int
	Team     string
	// Goal is the objective for the time to the first event, TimeLeft the time until the
	// deadline.
	Goal     time.Duration
	TimeLeft time.Duration
	// Tokens is the number of tokens of the prompt and of the longest answer, Memory that of
	// the requests that an engine can run together; zero if unknown.
	Tokens int
	Memory int
}

// Target is the state of one target that accepts requests.
type Target struct {
	// Key identifies one incarnation of the target, which has the given id.
	Key uint32
	ID  string
	// InFlight counts the requests of all routers, Own those of this router.
	InFlight int
	Own      int
	// Slots is the number of requests that the target runs at the same time.
	Slots int
}

// Reason is why a request was admitted or rejected.
type Reason string

// Calm, WithinShare and Floor admit a request; the other reasons reject it.
const (
	// Calm means that there is no overload.
	Calm Reason = "calm"
	// WithinShare means that there is overload, and the kind and team are within their share.
	WithinShare Reason = "share"
	// Floor means that the kind or team would starve without the request.
	Floor Reason = "floor"
	// Urgency means that more urgent kinds take the capacity.
	Urgency Reason = "urgency"
	// TeamShare means that the team is above its fair share of its kind.
	TeamShare Reason = "team"
	// Late means that the request would get its first event after its deadline.
	Late Reason = "late"
	// NoMemory means that most engines have no memory for the request.
	NoMemory Reason = "memory"
)

// Decision is the result for one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time until the turn of a rejected request.
	RetryAfter time.Duration
	// Queue is the number of requests in the engines' queues, as a part of the slots.
	Queue float64
}

// Admission decides for the services of one router. It is not safe for concurrent use.
type Admission struct {
	services map[string]*service
	tokens   map[uint32]int
}

// service is the state of one service.
type service struct {
	kinds map[int]*kind
	// runTime is the mean time that a request holds a slot.
	runTime mean
	// tokens and requests are those of this router in flight, with their moving averages.
	tokens, requests               int
	tokensAverage, requestsAverage float64
}

// New returns an Admission that has seen no requests.
func New() *Admission {
	return &Admission{services: make(map[string]*service), tokens: make(map[uint32]int)}
}

// Decide decides on a new request. draw is a random number between 0 and 1.
func (a *Admission) Decide(now time.Time, r Request, targets []Target, draw float64) Decision {
	s := a.service(r.Service)
	k := s.kind(r.Priority)
	k.goal = r.Goal
	k.offer(now, r.Team)
	d := s.decide(now, r, k, targets, draw)
	if d.Admitted {
		k.admitted.add(now, 1)
		k.teams[r.Team].admitted.add(now, 1)
	} else {
		d.RetryAfter = k.nextTurn(now)
	}
	return d
}

func (s *service) decide(now time.Time, r Request, k *kind, targets []Target, draw float64) Decision {
	queue, calm := queuePart(targets)
	// Without a kind of another urgency there is no order of rejection. A queue at the
	// engines says little then: a few requests at a small service fill it.
	if calm || len(s.activeKinds(now)) < 2 {
		k.rejectedPart -= partWeight * k.rejectedPart
		return Decision{Admitted: true, Reason: Calm}
	}
	part := s.admissiblePart(now, k, queue)
	k.rejectedPart += partWeight * (1 - part - k.rejectedPart)
	teamPart := k.admittedPart(now, r.Team, part)
	if k.aboveShare(now, r.Team) {
		// The queue varies within a second, and a team would otherwise get its whole demand
		// whenever the queue is short.
		teamPart = min(teamPart, k.admittedPart(now, r.Team, 1-k.rejectedPart))
	}
	late := now.Sub(k.firstEvent.at) < firstEventTTL && k.firstEvent.value > r.TimeLeft
	if draw < teamPart && !late {
		return Decision{Admitted: true, Reason: WithinShare, Queue: queue}
	}
	if k.starves(now, r.Team, floorShare*s.admittedRatio(now)) {
		return Decision{Admitted: true, Reason: Floor, Queue: queue}
	}
	reason := Urgency
	switch {
	case late:
		reason = Late
	case teamPart < part:
		reason = TeamShare
	}
	return Decision{Reason: reason, Queue: queue}
}

// queuePart returns the number of requests in the queues of the targets, as a part of their
// slots. calm is set if the load is too small for a rejection.
func queuePart(targets []Target) (part float64, calm bool) {
	slots, queued := 0, 0
	for _, t := range targets {
		slots += t.Slots
		queued += max(0, t.InFlight-t.Slots)
	}
	if queued == 0 || takenPart(targets) < calmShare {
		return 0, true
	}
	return float64(queued) / float64(slots), false
}

// takenPart returns the part of the targets' slots that is taken.
func takenPart(targets []Target) float64 {
	slots, taken := 0, 0
	for _, t := range targets {
		slots += t.Slots
		taken += min(t.InFlight, t.Slots)
	}
	return float64(taken) / float64(max(slots, 1))
}

// admissiblePart returns the part of a kind's requests that may be admitted with the given queue.
// The kinds are rejected one after another: the rejected part of a kind begins to rise once
// the next less urgent one is rejected entirely, and not before the queue delays the kind by
// queueGoalShare of its objective.
func (s *service) admissiblePart(now time.Time, k *kind, queue float64) float64 {
	active := s.activeKinds(now)
	total := 0.0
	for _, other := range active {
		total += other.admitted.get(now)
	}
	begin, behind := 0.0, 0.0
	for _, other := range active {
		behind += other.admitted.get(now)
		begin = max(begin, s.queueLimit(other, behind/max(total, 1)))
		if other == k {
			break
		}
		begin += rampWidth
	}
	return min(1, max(0, 1-(queue-begin)/rampWidth))
}

// queueLimit returns the queue at which a kind begins to be rejected, as a part of the slots.
// behind is the part of the admitted requests that is not more urgent than the kind: the
// slots that more urgent requests take don't shorten its queue.
func (s *service) queueLimit(k *kind, behind float64) float64 {
	if s.runTime.value == 0 {
		return maxQueue
	}
	return min(maxQueue, max(minQueue, queueGoalShare*behind*float64(k.goal)/float64(s.runTime.value)))
}

// activeKinds returns the kinds with recent requests, the least urgent first.
func (s *service) activeKinds(now time.Time) []*kind {
	var active []*kind
	for priority, k := range s.kinds {
		if k.offered.get(now) < forgottenBelow {
			delete(s.kinds, priority)
			continue
		}
		active = append(active, k)
	}
	slices.SortFunc(active, func(x, y *kind) int { return cmp.Compare(y.priority, x.priority) })
	return active
}

// admittedRatio returns the part of the recent requests that was admitted.
func (s *service) admittedRatio(now time.Time) float64 {
	offered, admitted := 0.0, 0.0
	for _, k := range s.activeKinds(now) {
		offered += k.offered.get(now)
		admitted += k.admitted.get(now)
	}
	return min(1, admitted/max(offered, 1))
}

// nextTurn returns the time after which a rejected caller should return. The callers of a kind
// return one after another, at the rate at which the kind is admitted.
func (k *kind) nextTurn(now time.Time) time.Duration {
	step := time.Duration(float64(demandDecay) / max(k.admitted.get(now), 1))
	if k.turn.Before(now) {
		k.turn = now
	}
	k.turn = k.turn.Add(step)
	if latest := now.Add(maxRetryAfter); k.turn.After(latest) {
		k.turn = latest
	}
	return max(minRetryAfter, k.turn.Sub(now))
}

func (a *Admission) service(name string) *service {
	s := a.services[name]
	if s == nil {
		s = &service{kinds: make(map[int]*kind)}
		a.services[name] = s
	}
	return s
}

func (s *service) kind(priority int) *kind {
	k := s.kinds[priority]
	if k == nil {
		k = &kind{priority: priority, teams: make(map[string]*team)}
		s.kinds[priority] = k
	}
	return k
}
