package filter

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// defaultRetryAfter is the Retry-After of temporary rejections whose cause names none. A
// *Refusal without a time means no Retry-After.
const defaultRetryAfter = time.Second

// Limits enforces the limits of the request's contract.
type Limits struct {
	Limiter Limiter
}

// Name returns the filter's name in specs.
func (*Limits) Name() string { return StepLimits }

// Handle charges the request to its limits and releases the charge at the end of the
// exchange.
func (l *Limits) Handle(ctx context.Context, x *Exchange, next Next) error {
	release, err := l.Limiter.Take(ctx, x.Demand)
	if err != nil {
		return rejectionFrom(x, StepLimits, http.StatusTooManyRequests, err)
	}
	if release != nil {
		x.OnEnd(release)
	}
	x.AddReason(StepLimits, "", "within the contract's limits")
	return next(ctx, x)
}

// rejectionFrom turns an error of the limiter or the scheduler into a rejection. Errors
// that are no *Refusal get defaultRetryAfter.
func rejectionFrom(x *Exchange, step string, status int, err error) *Rejection {
	r := Rejection{
		Status:     status,
		Code:       step + "-failed",
		Message:    err.Error(),
		Step:       step,
		RetryAfter: defaultRetryAfter,
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		r.Code = refusal.Code
		r.Message = refusal.Text
		r.RetryAfter = max(refusal.RetryAfter, 0)
	}
	return x.Reject(r)
}
