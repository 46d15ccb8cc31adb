package filter

import (
	"errors"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/forward"
)

const (
	// maxNotRunTries bounds the targets that one request is offered to without
	// running at any.
	maxNotRunTries = 4
	// overloadRetryAfter is when a request that found no free target may come
	// back.
	overloadRetryAfter = 300 * time.Millisecond
)

// mayTryAgain tells whether the request may go to another target after err. The
// shared bound on repeated sends is asked last, since asking spends it.
func (d *dispatch) mayTryAgain(err error) bool {
	switch {
	case errors.Is(err, errFailed):
		// The bound was asked before the answer was dropped.
		return true
	case errors.Is(err, forward.ErrDial):
		return d.notRun < maxNotRunTries
	case errors.Is(err, errNotRun):
		return d.notRun < maxNotRunTries && d.allowRepeat()
	case !d.repeatable() || d.ran >= d.x.Route.MaxTargets:
		return false
	default:
		return d.allowRepeat()
	}
}

// rejectAfterLastTry rejects the request after its last try.
func (d *dispatch) rejectAfterLastTry(err error) error {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	if errors.Is(err, ErrInvariant) {
		return err
	}
	if d.ran > 0 {
		return d.rejectUnknownOutcome(err.Error())
	}
	return d.x.Reject(Rejection{
		Code:       "targets-busy",
		Message:    err.Error(),
		Step:       StepDispatch,
		RetryAfter: overloadRetryAfter,
	})
}

// rejectUnknownOutcome rejects a request that may have run.
func (d *dispatch) rejectUnknownOutcome(text string) error {
	d.x.Token.Spend()
	return d.x.Reject(Rejection{
		Status:  http.StatusBadGateway,
		Code:    "target-failed",
		Message: text,
		Step:    StepDispatch,
	})
}

// allowRepeat asks for one more send within the shared bound.
func (d *dispatch) allowRepeat() bool {
	if d.Retries.AllowRetry(d.x.Demand.Service) {
		return true
	}
	d.x.AddReason(StepDispatch, "", "the bound on repeated sends to the service is reached")
	return false
}
