package balance

import "time"

const (
	// failureEWMAWeight is the weight of the latest outcome in a target's failure
	// rate.
	failureEWMAWeight = 0.2
	// ejectFailureRate is the failure rate from which a target is ejected.
	ejectFailureRate = 0.45
	// degradedFailureRate is the failure rate below which an ejected target is still
	// preferable to rejecting the request.
	degradedFailureRate = 0.7
	// minEjection and maxEjection bound the duration of an ejection, which doubles
	// with each ejection in a row.
	minEjection = 700 * time.Millisecond
	maxEjection = 5 * time.Second
)

// Outcome is the result of one request at a target. Its values are sent to other
// routers as numbers.
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
	// NotRun: the target stated that it did not run the request.
	NotRun
	// Abandoned: the caller disconnected; the outcome says nothing about the target.
	Abandoned
)

// health implements outlier ejection for one target. It protects against targets that
// fail some or all of their requests while they announce themselves as healthy.
type health struct {
	// failureRate is the exponentially weighted moving average of failures.
	failureRate float64
	// ejections counts the ejections since the target last recovered.
	ejections    int
	ejectedUntil time.Time
	// probing is set while a request is in flight that finds out whether an ejected
	// target has recovered.
	probing bool
	// unreachable is set if the last failed request did not reach the target.
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

// degraded reports whether the target is reachable and serves enough of its requests
// to be used while the healthy targets are full.
func (h *health) degraded() bool { return !h.unreachable && h.failureRate < degradedFailureRate }

// recordSent records that a request was sent to the target. After an ejection that
// request is the probe.
func (h *health) recordSent() {
	if h.ejections > 0 {
		h.probing = true
	}
}
