package overload

import "time"

const (
	// tokensWeight is the weight of the latest sample in the mean number of tokens of a
	// request.
	tokensWeight = 0.05
	// memoryQueue is the queue above which missing memory leads to rejections, as a part of
	// the slots.
	memoryQueue = 2 * minQueue
	// memoryPart is the part of the least urgent kind that is admitted while most engines have
	// no memory.
	memoryPart = 0.2
)

// full returns the ids of the targets whose memory the request would exceed. The requests of this
// router count with their tokens, those of others with the service's mean. Requests in the queue
// hold no memory. The tokens of requests are upper bounds, so full returns no targets while no
// request is queued or no recent one has waited.
func (a *Admission) full(now time.Time, r Request, targets []Target) []string {
	s := a.service(r.Service)
	if r.Memory == 0 || r.Tokens == 0 || takenPart(targets) < calmShare {
		return nil
	}
	if _, calm := queuePart(targets); calm && !s.waits(now) {
		return nil
	}
	var full []string
	for _, t := range targets {
		tokens := float64(a.tokens[t.Key]) + float64(max(0, t.InFlight-t.Own))*s.meanTokens()
		if t.InFlight > t.Slots {
			tokens *= float64(t.Slots) / float64(t.InFlight)
		}
		if tokens+float64(r.Tokens) > float64(r.Memory) && t.InFlight > 0 {
			full = append(full, t.ID)
		}
	}
	return full
}

// Memory applies the memory of the engines to an admitted request. It returns the decision and
// the ids of the targets to which the request is not sent.
//
// If most engines are full, the few others are the same ones at all routers until the next
// counts arrive, and would get the requests of all of them. No target is excluded then, and a
// part of the least urgent kind is rejected, by the teams' shares. More urgent requests are not
// rejected but wait in an engine's queue: smaller, less urgent ones still find memory, so
// rejections would reverse the order of urgency.
func (a *Admission) Memory(now time.Time, r Request, targets []Target, d Decision, draw float64) (Decision, []string) {
	full := a.full(now, r, targets)
	if !d.Admitted || 2*len(full) <= len(targets) {
		return d, full
	}
	s := a.service(r.Service)
	k := s.kind(r.Priority)
	if d.Reason != WithinShare || d.Queue < memoryQueue || s.activeKinds(now)[0] != k || draw < k.admittedPart(now, r.Team, memoryPart) {
		return d, nil
	}
	k.admitted.add(now, -1)
	k.teams[r.Team].admitted.add(now, -1)
	return Decision{Reason: NoMemory, Queue: d.Queue, RetryAfter: k.nextTurn(now)}, nil
}

// Start records that the request is sent to a target.
func (a *Admission) Start(key uint32, r Request) {
	s := a.service(r.Service)
	a.tokens[key] += r.Tokens
	s.tokens += r.Tokens
	s.requests++
	s.tokensAverage += tokensWeight * (float64(s.tokens) - s.tokensAverage)
	s.requestsAverage += tokensWeight * (float64(s.requests) - s.requestsAverage)
}

// Tokens returns the tokens of this router's requests at a target.
func (a *Admission) Tokens(key uint32) int { return a.tokens[key] }

// End records that the request has ended at a target. total is the time until its end and
// firstEvent that until its first event, equal to total if there was none. Both are zero if the
// request tells nothing about the queue.
func (a *Admission) End(now time.Time, key uint32, r Request, firstEvent, total time.Duration) {
	if a.tokens[key] -= r.Tokens; a.tokens[key] <= 0 {
		delete(a.tokens, key)
	}
	s := a.service(r.Service)
	s.tokens -= r.Tokens
	s.requests--
	if firstEvent <= 0 {
		return
	}
	s.kind(r.Priority).firstEvent.add(now, firstEvent)
	if total > firstEvent {
		// The time to the first event is mostly that in the queue.
		s.runTime.add(now, total-firstEvent)
	}
}

// meanTokens returns the mean number of tokens of the requests in flight. Long requests stay
// in flight longer, so this mean is above that of the requests sent.
func (s *service) meanTokens() float64 {
	if s.requestsAverage == 0 {
		return 0
	}
	return s.tokensAverage / s.requestsAverage
}

// waits reports whether recent requests of any kind waited for much of their objective.
func (s *service) waits(now time.Time) bool {
	for _, k := range s.kinds {
		if k.goal > 0 && now.Sub(k.firstEvent.at) < firstEventTTL && 2*k.firstEvent.value > k.goal {
			return true
		}
	}
	return false
}
