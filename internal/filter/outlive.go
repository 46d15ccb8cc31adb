package filter

import (
	"context"
	"sync/atomic"
)

// Outlived is the error of a claimed request whose caller left, or whose time
// ended, before the request did. The exchange that was passed to the chain
// goes on in the background and must not be used any more.
type Outlived struct {
	// Exchange stands for the one that goes on.
	Exchange *Exchange
	// Rejection is for the caller, if it is still there.
	Rejection *Rejection
}

// Error returns the rejection's text.
func (o *Outlived) Error() string { return o.Rejection.Error() }

// Unwrap returns the rejection.
func (o *Outlived) Unwrap() error { return o.Rejection }

// outlive runs the claimed request apart from its caller: it goes on after
// ctx ends, bounded by its class.
func (c *Claim) outlive(ctx context.Context, x *Exchange, next Next) error {
	stand := x.standIn()
	apart, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.total(x.Demand))
	x.OnEnd(func(Usage) { cancel() })
	// Whoever sets over first decides who ends the exchange.
	var over atomic.Bool
	done := make(chan error, 1)
	c.wg.Go(func() {
		err := c.claimed(apart, x, next)
		if over.CompareAndSwap(false, true) {
			done <- err
			return
		}
		c.endOutlived(x, err)
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if !over.CompareAndSwap(false, true) {
		return <-done
	}
	rejection := gone(stand)
	rejection.Message += "; the request goes on, and its key finds its answer"
	rejection.RetryAfter = inProgressRetryAfter
	return &Outlived{Exchange: stand, Rejection: Known(*rejection, false)}
}

// endOutlived ends an exchange that no caller waits for.
func (c *Claim) endOutlived(x *Exchange, err error) {
	if x.Answer != nil {
		x.Answer.Body.Close()
	}
	if c.Outlived != nil {
		c.Outlived(x, err)
		return
	}
	x.End()
}

// standIn copies what refusals and records need of x.
func (x *Exchange) standIn() *Exchange {
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
