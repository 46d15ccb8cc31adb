package filter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxTries bounds the targets that one request is sent to.
const maxTries = 3

// statusCallerGone is the customary status for a caller that left; nobody
// reads it but the record.
const statusCallerGone = 499

// errBusy stands for an answer that says the target can't serve now.
var errBusy = errors.New("the target answered that it can't serve now")

// Schedule admits the request to a target and tries others where the request
// may be repeated or was provably not sent.
type Schedule struct {
	Scheduler Scheduler
	Lease     *Lease
	Budget    *Budget
	// Idempotent tells whether a service's target holds the request idempotent.
	Idempotent func(t *pb.TargetStatus, x *Exchange) bool
}

// Name returns the filter's name in specs.
func (*Schedule) Name() string { return StepSchedule }

// Handle tries targets until one answers.
func (s *Schedule) Handle(ctx context.Context, x *Exchange, next Next) error {
	s.Budget.Request()
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
		if !errors.Is(err, forward.ErrKept) {
			exclude = append(exclude, grant.Target.GetId())
		}
		if !errors.Is(err, errBusy) && !s.mayRetry(ctx, x, err) {
			return rejectFailed(ctx, x, err)
		}
	}
}

// checkAdmitted makes sure after the wait for admission that the request may still be
// sent: the caller waits, the lease holds, and the target takes the request
// for what the chain took it.
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

// try sends the request to one target. It fails with errBusy once the budget
// has granted the retry that replaces the target's answer. The grant is held to the exchange's end
// if it answers, and given back at once if not.
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

// retryableStatus tells whether another target may do better.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// mayRetry tells whether the request may be sent again. The budget is asked
// last, since asking spends it.
func (s *Schedule) mayRetry(ctx context.Context, x *Exchange, err error) bool {
	repeatable := x.Idempotent || !x.Token.Spent()
	var rejection *Rejection
	switch {
	case !repeatable, ctx.Err() != nil, x.Tries >= maxTries:
		return false
	case errors.As(err, &rejection), errors.Is(err, ErrInvariant):
		return false
	}
	if !s.Budget.Retry() {
		x.AddReason(StepSchedule, "", "the retry budget is used up")
		return false
	}
	return true
}

// rejectNotAdmitted rejects a request that got no target, or none after the try that
// failed with last.
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

// rejectCallerGone rejects a request whose caller left or whose time is over.
func rejectCallerGone(x *Exchange) *Rejection {
	r := Rejection{
		Status:  statusCallerGone,
		Code:    "caller-gone",
		Message: "the caller left",
		Step:    StepSchedule,
	}
	if !x.Deadline.IsZero() && !time.Now().Before(x.Deadline) {
		r.Status = http.StatusGatewayTimeout
		r.Code = "deadline"
		r.Message = "the request's time is over"
		r.RetryAfter = defaultRetryAfter
	}
	return x.Reject(r)
}

// rejectFailed rejects a request after its last try.
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
		// Coming back by itself could run the request again.
		r.RetryAfter = 0
	}
	return x.Reject(r)
}
