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
	renewInterval     = 1 * time.Second
	renewsPerInterval = 8
	// askInterval is the least time between two calls for one customer's
	// share, and reaskInterval that while a share is in force.
	askInterval   = 250 * time.Millisecond
	reaskInterval = 1 * time.Second
	// fallbackLifetime is how long a fallback part lasts.
	fallbackLifetime = 1 * time.Second
	// askTimeout bounds a call to the home.
	askTimeout = 500 * time.Millisecond
	// idleAfter is how long after its last request a customer's share is
	// still renewed, and forgetAfter how long its meter is kept.
	idleAfter   = 5 * time.Second
	forgetAfter = 1 * time.Minute
)

// renew asks for new shares for the customers that were active lately.
func (l *Limiter) renew(ctx context.Context) {
	var asking sync.WaitGroup
	for _, c := range l.due(time.Now()) {
		asking.Go(func() { l.ask(ctx, c) })
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
	slices.SortFunc(due, func(a, b *customer) int { return a.asked().Compare(b.asked()) })
	return due[:min(len(due), renewsPerInterval)]
}

func (c *customer) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.meter.inUse > 0 || now.Sub(c.meter.used) < idleAfter
	return active && now.Sub(c.askedAt) >= renewAfter
}

func (c *customer) asked() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.askedAt
}

// ask gets the customer a new share from its home, or the fallback part if
// the home can't be reached. If another request asked just before, its share
// serves this one too.
func (l *Limiter) ask(ctx context.Context, c *customer) {
	c.asking.Lock()
	defer c.asking.Unlock()
	sent := time.Now()
	contract, ask, ok := c.beginAsk(sent)
	if !ok {
		// Without a share the call before must have failed.
		l.fallBack(c, sent)
		return
	}
	ask.Router = l.cfg.Self
	share, lifetime, err := l.lend(ctx, ask, contract.Limits)
	if err == nil {
		c.setShare(share, sent.Add(lifetime))
		return
	}
	l.cfg.Logger.Debug().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).
		Str("customer", contract.Customer).Msg("the customer's home lent no share")
	l.fallBack(c, sent)
}

// fallBack gives a customer without a share its part of the contract for a
// short time.
func (l *Limiter) fallBack(c *customer, sent time.Time) {
	if c.fallBack(len(l.routers()), sent) {
		l.fallback.Inc(1)
	}
}

func (c *customer) beginAsk(now time.Time) (*pb.Contract, Ask, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interval := askInterval
	if c.meter.until.After(now) {
		interval = reaskInterval
	}
	if now.Sub(c.askedAt) < interval {
		return nil, Ask{}, false
	}
	c.askedAt = now
	return c.contract, Ask{
		Customer: c.contract.Customer,
		Limits:   FromLimits(c.contract.Limits),
		Revision: c.contract.Revision,
		Demand:   c.meter.demand(now),
		Held:     c.meter.present(now),
		InUse:    c.meter.inUse,
	}, true
}

func (c *customer) setShare(share Amount, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.setShare(time.Now(), share, until)
}

// fallBack gives the customer an equal part of the contract among routers,
// unless a share lasts.
func (c *customer) fallBack(routers int, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.meter.until.After(now) {
		return false
	}
	part := FromLimits(c.contract.Limits).part(routers)
	c.meter.setShare(now, part, sent.Add(fallbackLifetime))
	return true
}
