package limits

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// Refusal codes, one for each limit.
const (
	CodeRequests         = "requests-limit"
	CodeTokens           = "tokens-limit"
	CodeConcurrency      = "concurrency-limit"
	CodeTooManyCustomers = "too-many-customers"
)

const (
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
	// maxCustomers is the maximum number of customers metered at one router.
	maxCustomers = 4096
	// methodAllocate is the call that requests a share from an owner.
	methodAllocate = "limits.lend"
)

// Config holds the dependencies of a Limiter. All fields but Scope are required.
type Config struct {
	// Self is the id of the local router.
	Self string
	View fleet.View
	// Pool makes calls to other routers, and Server receives their calls. New
	// registers the limiter's methods, so New must run before Server serves.
	Pool   *transport.Pool
	Server *transport.Server
	Logger *log.Logger
	Scope  tally.Scope
}

// Limiter enforces this router's shares of the limits of contracts and allocates
// the shares of the customers that this router owns.
type Limiter struct {
	cfg Config

	allocatorMu sync.Mutex
	allocator   *Allocator

	mu        sync.Mutex
	customers map[string]*customer

	refusals       tally.Scope
	fallbackShares tally.Counter
	stop           chan struct{}
	stopOnce       sync.Once
}

var _ filter.Limiter = (*Limiter)(nil)

// customer is the state of one customer that this router serves.
type customer struct {
	// shareRequestMu serialises share requests. It is locked before mu.
	shareRequestMu sync.Mutex

	mu               sync.Mutex
	contract         *pb.Contract
	meter            meter
	shareRequestedAt time.Time
}

// New returns a limiter and registers its methods at cfg.Server.
func New(cfg Config) *Limiter {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	scope := cfg.Scope.SubScope("limits")
	l := &Limiter{
		cfg:            cfg,
		allocator:      NewAllocator(),
		customers:      make(map[string]*customer),
		refusals:       scope,
		fallbackShares: scope.Counter("fallback_shares"),
		stop:           make(chan struct{}),
	}
	transport.Handle(cfg.Server, methodAllocate, l.handleAllocate)
	return l
}

// Run renews the shares of active customers until Close is called or ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.stop:
			return
		case <-ticker.C:
			l.renew(ctx)
		}
	}
}

// Close ends Run.
func (l *Limiter) Close() { l.stopOnce.Do(func() { close(l.stop) }) }

// Take admits one request under the contract's limits. The caller must call the
// returned function once the request has ended; it corrects the tokens to the
// actual usage. The error is a *filter.Refusal.
func (l *Limiter) Take(ctx context.Context, d filter.Demand) (func(filter.Usage), error) {
	limits := FromLimits(d.Contract.GetLimits())
	if limits.Unlimited() {
		return func(filter.Usage) {}, nil
	}
	c := l.customer(d.Contract)
	if c == nil {
		return nil, l.refuse(CodeTooManyCustomers, "", minRetryAfter)
	}
	tokens := float64(d.PromptTokens + d.MaxTokens)
	code, retryAfter := c.acquire(tokens, true)
	if code != "" {
		l.refreshShare(ctx, c)
		code, retryAfter = c.acquire(tokens, false)
	}
	if code != "" {
		return nil, l.refuse(code, c.shareDescription(), retryAfter)
	}
	var once sync.Once
	return func(u filter.Usage) {
		once.Do(func() { c.release(tokens, float64(u.Tokens)) })
	}, nil
}

// refuse counts and returns a refusal, with retryAfter kept between minRetryAfter
// and maxRetryAfter.
func (l *Limiter) refuse(code, share string, retryAfter time.Duration) *filter.Refusal {
	l.refusals.Tagged(map[string]string{"code": code}).Counter("refusals").Inc(1)
	return &filter.Refusal{
		Code:       code,
		Text:       "the contract's limit is reached" + share,
		RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter),
	}
}

// shareDescription describes this router's active share for the text of a refusal.
func (c *customer) shareDescription() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := c.meter.activeShare(time.Now())
	return fmt.Sprintf("; this router's share is %.3g requests/s, %.3g tokens/s and %.3g at a time, of which %d run",
		share.Requests, share.Tokens, share.Concurrency, c.meter.inUse)
}

// acquire admits one request if the share allows it; first is set for the first
// attempt of the request, which counts as demand.
func (c *customer) acquire(tokens float64, first bool) (code string, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if first {
		c.meter.recordAttempt(now, tokens)
	}
	return c.meter.acquire(now, tokens)
}

func (c *customer) release(expected, consumed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.release(time.Now(), expected, consumed)
}

// customer returns the state of the contract's customer and creates it if
// necessary. It returns nil while maxCustomers customers are active.
func (l *Limiter) customer(contract *pb.Contract) *customer {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.customers[contract.Customer]
	if !ok {
		if len(l.customers) >= maxCustomers {
			l.evictIdleLocked()
		}
		if len(l.customers) >= maxCustomers {
			return nil
		}
		c = &customer{contract: contract}
		l.customers[contract.Customer] = c
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if contract.Revision >= c.contract.Revision {
		c.contract = contract
	}
	return c
}

// evictIdleLocked removes customers that have been idle for evictAfter.
func (l *Limiter) evictIdleLocked() {
	now := time.Now()
	for name, c := range l.customers {
		c.mu.Lock()
		idle := c.meter.inUse == 0 && now.Sub(c.meter.lastUsed) > evictAfter
		c.mu.Unlock()
		if idle {
			delete(l.customers, name)
		}
	}
}
