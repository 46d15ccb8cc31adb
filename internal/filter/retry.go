package filter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

const (
	// maxNotRunTries bounds the tries in which one request provably did not run,
	// because its targets declined it or could not be connected to.
	maxNotRunTries = 4
	// overloadRetryAfter is the Retry-After of a request that no target accepted.
	overloadRetryAfter = 300 * time.Millisecond
)

// mayTryAgain reports whether the request may go to another target after err. All
// requests to a service share one retry limit. The limit is checked last, because an
// allowed retry is counted.
func (d *dispatch) mayTryAgain(err error) bool {
	switch {
	case errors.Is(err, errFailed):
		// The retry limit was checked in acceptOrDrop, before the answer was dropped.
		return true
	case errors.Is(err, forward.ErrDial):
		return d.notRun < maxNotRunTries && d.ran < d.x.Route.MaxTargets
	case errors.Is(err, errNotRun):
		return d.notRun < maxNotRunTries && d.ran < d.x.Route.MaxTargets && d.allowRepeat()
	case !d.repeatable() || d.ran >= d.x.Route.MaxTargets:
		return false
	default:
		return d.mayRepeatNow()
	}
}

// rejectAfterLastTry rejects the request with the error of its last try.
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

// rejectEnded rejects a request whose context has ended: the caller left, or the router gave up
// the try for another one.
func (d *dispatch) rejectEnded(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, forward.ErrAbandoned) || errors.Is(cause, forward.ErrSilent) {
		return errs.Wrap(cause, StepDispatch, d.choice.Target.Id)
	}
	return rejectCallerGone(d.x)
}

// rejectUnknownOutcome rejects a request that may have run.
func (d *dispatch) rejectUnknownOutcome(text string) error {
	return rejectUnknownOutcome(d.x, text)
}

func rejectUnknownOutcome(x *Exchange, text string) *Rejection {
	x.Token.Spend()
	return x.Reject(Rejection{
		Status:  http.StatusBadGateway,
		Code:    "target-failed",
		Message: text,
		Step:    StepDispatch,
	})
}

// RejectUnbegun rejects a routed request whose answer failed with err before its body began.
func RejectUnbegun(x *Exchange, err error) *Rejection {
	if errors.Is(err, forward.ErrCallerGone) || x.deadlinePassed() {
		return rejectCallerGone(x)
	}
	return rejectUnknownOutcome(x, err.Error())
}

// mayRepeatNow reports whether the request may be sent again: allowRepeat has allowed that
// already if another target has a place for it.
func (d *dispatch) mayRepeatNow() bool { return d.successor.held() || d.allowRepeat() }

// allowRepeat reports whether the retry limit of the service allows one more send, and
// counts it if so.
func (d *dispatch) allowRepeat() bool {
	decision := d.Retries.AllowRetry(d.x.Demand.Service)
	text := "sent again: "
	if !decision.Allowed {
		text = "the limit of repeated sends to the service is reached: "
	}
	d.x.AddReason(StepDispatch, "", text+decision.Inputs)
	return decision.Allowed
}
