package filter

import (
	"context"
	"sync/atomic"
)

// DetachedError is the error of a claimed request whose caller left, or whose deadline
// passed, before the request ended. The exchange that was passed to the chain continues
// in the background and must not be used any more.
type DetachedError struct {
	// Exchange is a copy of the exchange that continues. It has the fields that the
	// rejection and the record of the request need.
	Exchange *Exchange
	// Rejection is the answer for the caller, if the caller is still connected.
	Rejection *Rejection
}

// Error returns the text of the rejection.
func (e *DetachedError) Error() string { return e.Rejection.Error() }

// Unwrap returns the rejection.
func (e *DetachedError) Unwrap() error { return e.Rejection }

// runDetached runs the claimed request detached from its caller: the request continues
// after ctx ends, bounded by totalTimeout.
func (c *Claim) runDetached(ctx context.Context, x *Exchange, next Next) error {
	record := x.copyForRecord()
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.totalTimeout(x.Demand))
	x.OnEnd(func(Usage) { cancel() })
	// If the chain returns before ctx ends, the caller of Handle ends the exchange.
	// Otherwise endDetached does. decided makes sure that only one of them does.
	var decided atomic.Bool
	done := make(chan error, 1)
	c.wg.Go(func() {
		err := c.claimAndRun(detached, x, next)
		if decided.CompareAndSwap(false, true) {
			done <- err
			return
		}
		c.endDetached(x, err)
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if !decided.CompareAndSwap(false, true) {
		return <-done
	}
	rejection := rejectCallerGone(record)
	rejection.Message += "; the request continues, and a resend with the same Idempotency-Key returns its answer"
	rejection.RetryAfter = inProgressRetryAfter
	return &DetachedError{Exchange: record, Rejection: WithLedgerOutcome(*rejection, false)}
}

// endDetached ends an exchange that no caller waits for.
func (c *Claim) endDetached(x *Exchange, err error) {
	if x.Answer != nil {
		x.Answer.Body.Close()
	}
	if c.OnDetachedEnd != nil {
		c.OnDetachedEnd(x, err)
		return
	}
	x.End()
}

// copyForRecord copies the fields of x that rejections and records need.
func (x *Exchange) copyForRecord() *Exchange {
	return &Exchange{
		ID:       x.ID,
		Received: x.Received,
		Method:   x.Method,
		Deadline: x.Deadline,
		Demand:   x.Demand,
		Revision: x.Revision,
		reasons:  append([]Reason(nil), x.Reasons()...),
	}
}
