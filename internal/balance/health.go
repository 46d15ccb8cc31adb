package balance

import "time"

const (
	// failureEWMAWeight is the weight of the latest outcome in a target's failure
	// rate.
	failureEWMAWeight = 0.2
	// ejectFailureRate is the failure rate at or above which a target is ejected.
	ejectFailureRate = 0.45
	// degradedFailureRate is the failure rate below which an ejected target still
	// serves enough requests to be used instead of rejecting a request.
	degradedFailureRate = 0.7
	// minEjection and maxEjection bound the duration of an ejection, which doubles
	// with each ejection in a row (exponential back-off).
	minEjection = 700 * time.Millisecond
	maxEjection = 5 * time.Second
)

// Outcome is the result of one request at a target. Routers send each other the values
// as numbers, so the values must not change.
type Outcome int

// Outcomes.
const (
	// Served: the target responded.
	Served Outcome = iota
	// Unreachable: no connection was established, or the target did not respond in
	// time.
	Unreachable
	// Failed: the target failed the request or truncated its response.
	Failed
	// NotRun: the target stated that it did not run the request, which is no failure.
	NotRun
	// Abandoned: the caller disconnected, or the request was not sent to the target;
	// the outcome says nothing about the target.
	Abandoned
)

// health implements outlier ejection for one target. It protects against targets that
// fail some or all of their requests while they announce themselves as healthy.
type health struct {
	// failureRate is the exponentially weighted moving average of failures.
	failureRate float64
	// ejections counts the ejections since the target last recovered, which it does
	// when a served request takes the failure rate below ejectFailureRate.
	ejections    int
	ejectedUntil time.Time
	// probing is set while a probe request is in flight, the single request that an
	// ejected target receives to test whether it has recovered.
	probing bool
	// unreachable is set if the last failure was Unreachable and no request was served
	// since.
	unreachable bool
}

// observe records an outcome at time now.
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

// eject starts an ejection unless one is active at now.
func (h *health) eject(now time.Time) {
	h.probing = false
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(h.ejections, 4)))
	h.ejections++
}

// available reports whether the target may receive requests at now. After an ejection
// expires, the target receives one probe request at a time until its failure rate is
// below ejectFailureRate again.
func (h *health) available(now time.Time) bool {
	if h.ejections == 0 {
		return true
	}
	return !now.Before(h.ejectedUntil) && !h.probing
}

// degraded reports whether the target is reachable and serves enough of its requests to
// be used while the healthy targets are full.
func (h *health) degraded() bool { return !h.unreachable && h.failureRate < degradedFailureRate }

// recordSent records that a request was assigned to the target. After an ejection the
// request is a probe.
func (h *health) recordSent() {
	if h.ejections > 0 {
		h.probing = true
	}
}
