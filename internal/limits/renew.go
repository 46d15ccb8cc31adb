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
	// renewAfter is the age at which an active customer's share is renewed.
	renewAfter = 3 * time.Second
	// renewInterval is how often due renewals are looked for, and
	// renewsPerInterval bounds those made then, oldest first. A share that is
	// not renewed in time is asked for again by the next request.
	renewInterval          = 1 * time.Second
	maxRenewalsPerInterval = 8
	// minRequestInterval is the least time between two calls for one customer's
	// share, and reaskInterval that while a share is in force.
	minRequestInterval          = 250 * time.Millisecond
	minRequestIntervalWithShare = 1 * time.Second
	// fallbackLifetime is how long a fallback part lasts.
	fallbackLifetime = 1 * time.Second
	// requestTimeout bounds a call to the home.
	requestTimeout = 500 * time.Millisecond
	// idleAfter is how long after its last request a customer's share is
	// still renewed, and forgetAfter how long its meter is kept.
	idleAfter  = 5 * time.Second
	evictAfter = 1 * time.Minute
)

// renew asks for new shares for the customers that were active lately.
func (l *Limiter) renew(ctx context.Context) {
	var asking sync.WaitGroup
	for _, c := range l.due(time.Now()) {
		asking.Go(func() { l.refreshShare(ctx, c) })
	}
	asking.Wait()
}

// due returns the active customers whose shares are to be renewed.
func (l *Limiter) due(now time.Time) []*customer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*customer
	for _, c := range l.customers {
		if c.due(now) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *customer) int { return a.lastRequest().Compare(b.lastRequest()) })
	return due[:min(len(due), maxRenewalsPerInterval)]
}

func (c *customer) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.meter.inUse > 0 || now.Sub(c.meter.lastUsed) < idleAfter
	return active && now.Sub(c.requestedAt) >= renewAfter
}

func (c *customer) lastRequest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestedAt
}

// refreshShare gets the customer a new share from its home, or the fallback part if
// the home can't be reached. If another request asked just before, its share
// serves this one too.
func (l *Limiter) refreshShare(ctx context.Context, c *customer) {
	c.requestMu.Lock()
	defer c.requestMu.Unlock()
	sent := time.Now()
	contract, ask, ok := c.newRequest(sent)
	if !ok {
		// Without a share the call before must have failed.
		l.applyFallback(c, sent)
		return
	}
	ask.Router = l.cfg.Self
	share, lifetime, err := l.requestShare(ctx, ask, contract.Limits)
	if err == nil {
		c.setShare(share, sent.Add(lifetime))
		return
	}
	l.cfg.Logger.Debug().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).
		Str("customer", contract.Customer).Msg("the customer's home lent no share")
	l.applyFallback(c, sent)
}

// applyFallback gives a customer without a share its part of the contract for a
// short time.
func (l *Limiter) applyFallback(c *customer, sent time.Time) {
	if c.applyFallback(len(l.servingRouters()), sent) {
		l.fallbackShares.Inc(1)
	}
}

func (c *customer) newRequest(now time.Time) (*pb.Contract, Request, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interval := minRequestInterval
	if c.meter.expiry.After(now) {
		interval = minRequestIntervalWithShare
	}
	if now.Sub(c.requestedAt) < interval {
		return nil, Request{}, false
	}
	c.requestedAt = now
	return c.contract, Request{
		Customer: c.contract.Customer,
		Limits:   FromLimits(c.contract.Limits),
		Revision: c.contract.Revision,
		Demand:   c.meter.demand(now),
		Held:     c.meter.activeShare(now),
		InUse:    c.meter.inUse,
	}, true
}

func (c *customer) setShare(share Amount, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.setShare(time.Now(), share, until)
}

// applyFallback gives the customer an equal part of the contract among routers,
// unless a share lasts.
func (c *customer) applyFallback(routers int, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.meter.expiry.After(now) {
		return false
	}
	part := FromLimits(c.contract.Limits).dividedBy(routers)
	c.meter.setShare(now, part, sent.Add(fallbackLifetime))
	return true
}
