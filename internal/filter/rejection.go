package filter

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Token records whether a byte of a request may have left this router. While it is
// unspent, no byte has reached a target, or the target has declared that it did not run
// the request and never will (Restore). It has no relation to prompt tokens and token
// buckets. It is spent before the first byte can leave, and only an unspent token yields
// a rejection with the outcome not-run.
type Token struct {
	spent atomic.Bool
}

// Spend records that a byte may leave from now on.
func (t *Token) Spend() { t.spent.Store(true) }

// Restore reverts Spend. It may only be called once the target that was sent the
// request has declared that it did not run the request and never will.
func (t *Token) Restore() { t.spent.Store(false) }

// Spent reports whether a byte may have left.
func (t *Token) Spent() bool { return t.spent.Load() }

// Rejection is wigeonwood's own answer in place of a target's, as an error. Other
// packages can't set its outcome: only Token.Reject yields not-run.
type Rejection struct {
	Status     int
	Code       string
	Message    string
	Step       string
	RetryAfter time.Duration
	// Entries are the entry addresses of other routers that the caller may use.
	Entries []string

	outcome Outcome
}

// Error returns the step, code and message.
func (r *Rejection) Error() string {
	return r.Step + ": " + r.Code + ": " + r.Message
}

// Outcome tells whether the request ran; an outcome that is not set is unknown.
func (r *Rejection) Outcome() Outcome {
	if r.outcome == "" {
		return OutcomeUnknown
	}
	return r.outcome
}

// Reject completes r with the outcome that the token proves: not-run while it is
// unspent, unknown after. The default status is 503.
func (t *Token) Reject(r Rejection) *Rejection {
	r.outcome = OutcomeNotRun
	if t.Spent() {
		r.outcome = OutcomeUnknown
	}
	if r.Status == 0 {
		r.Status = http.StatusServiceUnavailable
	}
	return &r
}

// WithLedgerOutcome completes r for a request whose outcome the ledger records: run if
// run is set, or else unknown.
func WithLedgerOutcome(r Rejection, run bool) *Rejection {
	r.outcome = OutcomeUnknown
	if run {
		r.outcome = OutcomeRun
	}
	return &r
}
