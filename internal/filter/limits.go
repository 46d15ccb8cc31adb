package filter

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// defaultRetryAfter stands in where a refusal names no time.
const defaultRetryAfter = time.Second

// Limits holds the request to its contract's limits.
type Limits struct {
	Limiter Limiter
}

// Name returns the filter's name in specs.
func (*Limits) Name() string { return StepLimits }

// Handle takes the request's share and gives it back at the end.
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

// rejectionFrom turns a decision of the limiter or the scheduler into a rejection.
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
