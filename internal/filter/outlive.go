package filter

import (
	"context"
	"sync/atomic"
)

// DetachedError is the error of a claimed request whose caller left, or whose time
// ended, before the request did. The exchange that was passed to the chain
// goes on in the background and must not be used any more.
type DetachedError struct {
	// Exchange stands for the one that goes on.
	Exchange *Exchange
	// Rejection is for the caller, if it is still there.
	Rejection *Rejection
}

// Error returns the rejection's text.
func (o *DetachedError) Error() string { return o.Rejection.Error() }

// Unwrap returns the rejection.
func (o *DetachedError) Unwrap() error { return o.Rejection }

// runDetached runs the claimed request apart from its caller: it goes on after
// ctx ends, bounded by its class.
func (c *Claim) runDetached(ctx context.Context, x *Exchange, next Next) error {
	stand := x.copyForRecord()
	apart, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.totalTimeout(x.Demand))
	x.OnEnd(func(Usage) { cancel() })
	// Whoever sets over first decides who ends the exchange.
	var over atomic.Bool
	done := make(chan error, 1)
	c.wg.Go(func() {
		err := c.claimAndRun(apart, x, next)
		if over.CompareAndSwap(false, true) {
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
	if !over.CompareAndSwap(false, true) {
		return <-done
	}
	rejection := rejectCallerGone(stand)
	rejection.Message += "; the request goes on, and its key finds its answer"
	rejection.RetryAfter = inProgressRetryAfter
	return &DetachedError{Exchange: stand, Rejection: WithLedgerOutcome(*rejection, false)}
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

// copyForRecord copies what refusals and records need of x.
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
