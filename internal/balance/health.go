package balance

import "time"

const (
	// failWeight is the weight of the last outcome in a target's failure share.
	failWeight = 0.2
	// ejectShare is the failure share from which a target is ejected.
	ejectShare = 0.45
	// partlyShare is the failure share up to which an ejected target still serves
	// enough to be better than a refusal.
	partlyShare = 0.7
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
	Broken
	// Busy: the target declared not to have run the request.
	Busy
	// Abandoned: the caller left; it says nothing of the target.
	Abandoned
)

// health is what the outcomes of requests tell of one target. It answers
// targets that fail a part or all of their requests while they announce
// themselves as sound.
type health struct {
	// failures is the weighted share of failed requests.
	failures float64
	// ejections counts those since the last success.
	ejections int
	until     time.Time
	// trial tells that a request is under way to find out whether an ejected
	// target has recovered.
	trial bool
	// unreachable tells that the last failure was one to reach the target.
	unreachable bool
}

// observe takes an outcome at now.
func (h *health) observe(now time.Time, o Outcome) {
	switch o {
	case Abandoned:
		h.trial = false
	case Served:
		h.failures -= failWeight * h.failures
		h.trial = false
		h.unreachable = false
		if h.failures < ejectShare {
			h.ejections = 0
			h.until = time.Time{}
		}
	case Busy:
		h.trial = false
	case Unreachable:
		h.unreachable = true
		h.failures = max(h.failures+failWeight*(1-h.failures), ejectShare)
		h.eject(now)
	case Broken:
		h.unreachable = false
		h.failures += failWeight * (1 - h.failures)
		if h.failures >= ejectShare {
			h.eject(now)
		}
	}
}

func (h *health) eject(now time.Time) {
	h.trial = false
	if now.Before(h.until) {
		return
	}
	h.until = now.Add(min(maxEjection, minEjection<<min(h.ejections, 4)))
	h.ejections++
}

// available tells whether the target may be given requests at now. After an
// ejection one request at a time tries the target, until one is served.
func (h *health) available(now time.Time) bool {
	if h.ejections == 0 {
		return true
	}
	return !now.Before(h.until) && !h.trial
}

// servesInPart tells whether the target is reached and serves some of its requests.
func (h *health) servesInPart() bool { return !h.unreachable && h.failures < partlyShare }

// given notes that a request was given to the target.
func (h *health) given() {
	if h.ejections > 0 {
		h.trial = true
	}
}
