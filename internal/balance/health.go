package balance

import "time"

const (
	// failureEWMAWeight is the weight of the last outcome in a target's failure share.
	failureEWMAWeight = 0.2
	// ejectFailureRate is the failure share from which a target is ejected.
	ejectFailureRate = 0.45
	// degradedFailureRate is the failure share up to which an ejected target still serves
	// enough to be better than a refusal.
	degradedFailureRate = 0.7
	// minEjection and maxEjection bound how long an ejected target is avoided.
	minEjection = 700 * time.Millisecond
	maxEjection = 5 * time.Second
)

// Outcome is how one request went at a target.
type Outcome int

// Outcomes.
const (
	// Served: the target answered.
	Served Outcome = iota
	// Unreachable: no connection came about, or the target stayed silent.
	Unreachable
	// Broken: the target failed the request or cut its answer.
	Failed
	// Busy: the target declared not to have run the request.
	NotRun
	// Abandoned: the caller left; it says nothing of the target.
	Abandoned
)

// health is what the outcomes of requests tell of one target. It answers
// targets that fail a part or all of their requests while they announce
// themselves as sound.
type health struct {
	// failureRate is the weighted share of failed requests.
	failureRate float64
	// ejections counts those since the last success.
	ejections    int
	ejectedUntil time.Time
	// probing tells that a request is under way to find out whether an ejected
	// target has recovered.
	probing bool
	// unreachable tells that the last failure was one to reach the target.
	unreachable bool
}

// observe takes an outcome at now.
func (h *health) observe(now time.Time, o Outcome) {
	switch o {
	case Abandoned:
		h.probing = false
	case Served:
		h.failureRate -= failureEWMAWeight * h.failureRate
		h.probing = false
		h.unreachable = false
		if h.failureRate < ejectFailureRate {
			h.ejections = 0
			h.ejectedUntil = time.Time{}
		}
	case NotRun:
		h.probing = false
	case Unreachable:
		h.unreachable = true
		h.failureRate = max(h.failureRate+failureEWMAWeight*(1-h.failureRate), ejectFailureRate)
		h.eject(now)
	case Failed:
		h.unreachable = false
		h.failureRate += failureEWMAWeight * (1 - h.failureRate)
		if h.failureRate >= ejectFailureRate {
			h.eject(now)
		}
	}
}

func (h *health) eject(now time.Time) {
	h.probing = false
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(h.ejections, 4)))
	h.ejections++
}

// available tells whether the target may be given requests at now. After an
// ejection one request at a time tries the target, until one is served.
func (h *health) available(now time.Time) bool {
	if h.ejections == 0 {
		return true
	}
	return !now.Before(h.ejectedUntil) && !h.probing
}

// degraded tells whether the target is reached and serves some of its requests.
func (h *health) degraded() bool { return !h.unreachable && h.failureRate < degradedFailureRate }

// recordSent notes that a request was given to the target.
func (h *health) recordSent() {
	if h.ejections > 0 {
		h.probing = true
	}
}
