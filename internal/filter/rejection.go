package filter

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Token is the proof that no byte of a request has reached a target. It is
// spent before the first byte can leave, and only an unspent token makes a
// refusal with the outcome not-run.
type Token struct {
	spent atomic.Bool
}

// Spend marks that a byte may leave from now on.
func (t *Token) Spend() { t.spent.Store(true) }

// Restore takes back a Spend. It may only be called once the target that was
// sent the request has declared that it did not run it and never will.
func (t *Token) Restore() { t.spent.Store(false) }

// Spent tells whether a byte may have left.
func (t *Token) Spent() bool { return t.spent.Load() }

// Rejection is wigeonwood's own answer in place of a target's. It is an error.
// Its outcome can't be set from outside: only Token.Reject makes a not-run.
type Rejection struct {
	Status     int
	Code       string
	Message    string
	Step       string
	RetryAfter time.Duration
	// Entries are addresses of other routers to go to.
	Entries []string

	outcome Outcome
}

// Error returns the step, code and message.
func (r *Rejection) Error() string {
	return r.Step + ": " + r.Code + ": " + r.Message
}

// Outcome says what is known of the request; an unset one is unknown.
func (r *Rejection) Outcome() Outcome {
	if r.outcome == "" {
		return OutcomeUnknown
	}
	return r.outcome
}

// Reject completes r with the outcome that the token proves: not-run while it
// is unspent, unknown after.
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

// WithLedgerOutcome completes r for a request whose outcome the ledger tells: run, or
// else unknown.
func WithLedgerOutcome(r Rejection, run bool) *Rejection {
	r.outcome = OutcomeUnknown
	if run {
		r.outcome = OutcomeRun
	}
	return &r
}
