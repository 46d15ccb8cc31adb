package filter

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxTries bounds the tries of one request.
const maxTries = 3

// statusCallerGone is the status that nginx logs for a caller that left. The caller no
// longer receives the status, which appears in the log and the record of the request.
const statusCallerGone = 499

// errBusy is the error of a try whose target responded that it can't serve the request
// now.
var errBusy = errors.New("the target answered that it can't serve now")

// Schedule admits the request to a target and sends it. After a failure it tries other
// targets, if the request may be repeated or was provably not sent.
type Schedule struct {
	Scheduler Scheduler
	Lease     *Lease
	Budget    *RetryBudget
	// Idempotent reports whether the service's target declares the request idempotent;
	// nil skips this check after admission.
	Idempotent func(t *pb.TargetStatus, x *Exchange) bool
}

// Name returns the filter's name in specs.
func (*Schedule) Name() string { return StepSchedule }

// Handle tries targets until one responds.
func (s *Schedule) Handle(ctx context.Context, x *Exchange, next Next) error {
	s.Budget.RecordRequest()
	var exclude []string
	var last error
	for {
		grant, err := s.Scheduler.Admit(ctx, x.Demand, exclude)
		if err != nil {
			return s.rejectNotAdmitted(ctx, x, err, last)
		}
		x.AddReasons(grant.Reasons)
		if err := s.checkAdmitted(ctx, x, grant); err != nil {
			grant.Release(Usage{})
			return err
		}
		err = s.try(ctx, x, grant, next)
		if err == nil {
			return nil
		}
		x.AddReason(StepSchedule, grant.Target.GetId(), err.Error())
		last = err
		// After ErrKept the same target may succeed on a new connection: the target may
		// have closed the idle one.
		if !errors.Is(err, forward.ErrReusedConnection) {
			exclude = append(exclude, grant.Target.GetId())
		}
		if !errors.Is(err, errBusy) && !s.mayRetry(ctx, x, err) {
			return rejectFailed(ctx, x, err)
		}
	}
}

// checkAdmitted checks, after the wait for admission, that the request may still be
// sent: the caller still waits, the lease is valid, and a request that the chain treats
// as idempotent is declared idempotent by the admitted target, too.
func (s *Schedule) checkAdmitted(ctx context.Context, x *Exchange, grant *Grant) error {
	if ctx.Err() != nil {
		return rejectCallerGone(x)
	}
	if err := s.Lease.Check(x, StepSchedule); err != nil {
		return err
	}
	if x.Idempotent && s.Idempotent != nil && !s.Idempotent(grant.Target, x) {
		return x.Reject(Rejection{
			Code:       "routes-changed",
			Message:    "the service changed its declared routes; send the request again",
			Step:       StepSchedule,
			RetryAfter: defaultRetryAfter,
		})
	}
	return nil
}

// try sends the request to one target. If another target may do better and the budget
// grants a retry, it drops the response and fails with errBusy. The grant is held until
// the exchange ends if the target's response becomes the answer; otherwise it is
// released at once.
func (s *Schedule) try(ctx context.Context, x *Exchange, grant *Grant, next Next) error {
	x.Grant = grant
	x.Tries++
	err := next(ctx, x)
	if err == nil && x.Idempotent && retryableStatus(x.Answer.Status) && s.mayRetry(ctx, x, errBusy) {
		x.Answer.Body.Close()
		x.Answer = nil
		err = errs.Wrap(errBusy, StepSchedule, grant.Target.GetId())
		grant.Release(Usage{Failed: true})
		return err
	}
	if err != nil {
		grant.Release(Usage{Failed: !errors.Is(err, forward.ErrCallerGone)})
		return err
	}
	x.OnEnd(grant.Release)
	return nil
}

// retryableStatus reports whether another target may do better.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// mayRetry reports whether the request may be sent again. The budget is checked last,
// because an allowed retry spends a token.
func (s *Schedule) mayRetry(ctx context.Context, x *Exchange, err error) bool {
	repeatable := x.Idempotent || !x.Token.Spent()
	var rejection *Rejection
	switch {
	case !repeatable, ctx.Err() != nil, x.Tries >= maxTries:
		return false
	case errors.As(err, &rejection), errors.Is(err, ErrInvariant):
		return false
	}
	if !s.Budget.AllowRetry() {
		x.AddReason(StepSchedule, "", "the retry budget is used up")
		return false
	}
	return true
}

// rejectNotAdmitted rejects a request that was admitted to no target, or to no other
// one after the try that failed with last; last is nil if there was no try.
func (s *Schedule) rejectNotAdmitted(ctx context.Context, x *Exchange, err, last error) error {
	if ctx.Err() != nil {
		return rejectCallerGone(x)
	}
	r := rejectionFrom(x, StepSchedule, http.StatusServiceUnavailable, err)
	if last != nil {
		r.Message += fmt.Sprintf("; before that, target %s: %v", errs.Peer(last), last)
	}
	return r
}

// rejectCallerGone rejects a request whose caller left or whose deadline has passed.
func rejectCallerGone(x *Exchange) *Rejection {
	r := Rejection{
		Status:  statusCallerGone,
		Code:    "caller-gone",
		Message: "the caller left",
		Step:    StepSchedule,
	}
	if x.deadlinePassed() {
		r.Status = http.StatusGatewayTimeout
		r.Code = "deadline"
		r.Message = "the request's deadline has passed"
		r.RetryAfter = defaultRetryAfter
	}
	return x.Reject(r)
}

// rejectFailed rejects a request with the error of its last try.
func rejectFailed(ctx context.Context, x *Exchange, err error) error {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	if errors.Is(err, ErrInvariant) {
		return err
	}
	if ctx.Err() != nil {
		return rejectCallerGone(x)
	}
	r := Rejection{
		Status:     http.StatusBadGateway,
		Code:       "target-failed",
		Message:    fmt.Sprintf("target %s: %v", errs.Peer(err), err),
		Step:       errs.Step(err),
		RetryAfter: defaultRetryAfter,
	}
	if errors.Is(err, forward.ErrSilent) {
		r.Status = http.StatusGatewayTimeout
		r.Code = "target-silent"
	}
	if x.Token.Spent() && !x.Idempotent {
		// No Retry-After: a client that retries automatically could run the request
		// twice.
		r.RetryAfter = 0
	}
	return x.Reject(r)
}
