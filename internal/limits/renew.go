package limits

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// renewAfter is the age at which the share of an active customer is renewed.
	renewAfter = 3 * time.Second
	// renewInterval is the time between two rounds of renewals, and
	// maxRenewalsPerInterval is the maximum number of renewals in one round,
	// oldest first. If a share expires before its renewal, the next request of
	// the customer requests a new one.
	renewInterval          = 1 * time.Second
	maxRenewalsPerInterval = 8
	// minShareRequestInterval is the minimum time between two share requests for one
	// customer, and minRequestIntervalWithShare the minimum while the customer
	// has a valid share.
	minShareRequestInterval          = 250 * time.Millisecond
	minShareRequestIntervalWithShare = 1 * time.Second
	// fallbackLifetime is how long a fallback share is valid.
	fallbackLifetime = 1 * time.Second
	// shareRequestTimeout is the time limit of a call to the owner.
	shareRequestTimeout = 500 * time.Millisecond
	// idleAfter is how long after the last request of a customer its share is
	// still renewed, and evictAfter how long its state is kept.
	idleAfter  = 5 * time.Second
	evictAfter = 1 * time.Minute
)

// renew renews the shares of the customers that due returns, all concurrently.
func (l *Limiter) renew(ctx context.Context) {
	var renewals sync.WaitGroup
	for _, c := range l.due(time.Now()) {
		renewals.Go(func() { l.refreshShare(ctx, c) })
	}
	renewals.Wait()
}

// due returns the active customers whose shares are due for renewal, oldest
// first and at most maxRenewalsPerInterval.
func (l *Limiter) due(now time.Time) []*customer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*customer
	for _, c := range l.customers {
		if c.due(now) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *customer) int { return a.lastShareRequest().Compare(b.lastShareRequest()) })
	return due[:min(len(due), maxRenewalsPerInterval)]
}

// due reports whether the customer is active and its share is due for renewal.
func (c *customer) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.meter.inUse > 0 || now.Sub(c.meter.lastUsed) < idleAfter
	return active && now.Sub(c.shareRequestedAt) >= renewAfter
}

func (c *customer) lastShareRequest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shareRequestedAt
}

// refreshShare obtains a new share for the customer from its owner, or applies the
// fallback share if the owner cannot be reached. It sends no request if another
// goroutine has just sent one for the customer, and keeps the share that this
// request obtained.
func (l *Limiter) refreshShare(ctx context.Context, c *customer) {
	c.shareRequestMu.Lock()
	defer c.shareRequestMu.Unlock()
	sent := time.Now()
	contract, req, ok := c.newShareRequest(sent)
	if !ok {
		// The minimum interval has not passed. If there is no valid share, the
		// previous request for one failed.
		l.applyFallback(c, sent)
		return
	}
	req.Router = l.cfg.Self
	share, lifetime, err := l.requestShare(ctx, req, contract.Limits)
	if err == nil {
		c.setShare(share, sent.Add(lifetime))
		return
	}
	l.cfg.Logger.Debug().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).
		Str("customer", contract.Customer).Msg("could not get a share from the customer's owner router")
	l.applyFallback(c, sent)
}

// applyFallback gives a customer without a valid share the fallback share and
// counts it.
func (l *Limiter) applyFallback(c *customer, sent time.Time) {
	if c.applyFallback(len(l.servingRouters()), sent) {
		l.fallbackShares.Inc(1)
	}
}

// newShareRequest returns the contract and a share request for it. The last result is
// false while the minimum interval since the previous request has not passed.
func (c *customer) newShareRequest(now time.Time) (*pb.Contract, ShareRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interval := minShareRequestInterval
	if c.meter.expiry.After(now) {
		interval = minShareRequestIntervalWithShare
	}
	if now.Sub(c.shareRequestedAt) < interval {
		return nil, ShareRequest{}, false
	}
	c.shareRequestedAt = now
	return c.contract, ShareRequest{
		Customer: c.contract.Customer,
		Limits:   FromLimits(c.contract.Limits),
		Revision: c.contract.Revision,
		Demand:   c.meter.demand(now),
		Held:     c.meter.activeShare(now),
		InUse:    c.meter.inUse,
	}, true
}

func (c *customer) setShare(share Amount, expiry time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.setShare(time.Now(), share, expiry)
}

// applyFallback sets an equal fraction of the contract, one of routers parts, as
// the share until fallbackLifetime after sent. It reports whether it did so: a
// valid share stays.
func (c *customer) applyFallback(routers int, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.meter.expiry.After(now) {
		return false
	}
	share := FromLimits(c.contract.Limits).dividedBy(routers)
	c.meter.setShare(now, share, sent.Add(fallbackLifetime))
	return true
}
