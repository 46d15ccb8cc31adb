package filter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// leaseRetryAfter is when callers may retry at a router without a lease.
	leaseRetryAfter = 2 * time.Second
	// renewalWaitLimit is how long after the end of the lease a request may wait for
	// the renewal. The renewal may need a new leader, whose election takes about a
	// second.
	renewalWaitLimit = time.Second
	// renewalPoll is the interval at which a waiting request checks for the new lease.
	renewalPoll = 20 * time.Millisecond
	// maxRenewalWaiters bounds the requests that wait for a renewal at one router.
	maxRenewalWaiters = 512
)

// Lease rejects requests while the router has no valid configuration lease.
type Lease struct {
	Config ConfigView
	// Entries returns the entry addresses of other routers for a customer; may be nil.
	Entries func(customer string) []string

	waiting atomic.Int64
}

// Name returns the filter's name in specs.
func (*Lease) Name() string { return StepLease }

// Handle rejects the request if there is no valid lease. If the lease has just ended,
// it waits for the renewal first.
func (l *Lease) Handle(ctx context.Context, x *Exchange, next Next) error {
	if l.awaitRenewal(ctx) {
		x.AddReason(StepLease, "", "waited for the renewal of the configuration lease")
	}
	if err := l.Check(x, StepLease); err != nil {
		return err
	}
	_, until, _ := l.Config.Lease()
	left := time.Until(until).Round(time.Millisecond)
	x.AddReason(StepLease, "", fmt.Sprintf("configuration revision %d under a lease for %s more", x.Revision, left))
	return next(ctx, x)
}

// awaitRenewal waits for a new lease if the last one ended less than renewalWaitLimit
// ago, and reports whether it waited. It does not wait if the end of the lease is zero,
// because the router has had no lease yet or has released it. The wait protects against
// leases that expire while a leader is elected on busy machines.
func (l *Lease) awaitRenewal(ctx context.Context) (waited bool) {
	_, until, ok := l.Config.Lease()
	if ok || until.IsZero() {
		return false
	}
	defer l.waiting.Add(-1)
	if l.waiting.Add(1) > maxRenewalWaiters {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, until.Add(renewalWaitLimit))
	defer cancel()
	ticker := time.NewTicker(renewalPoll)
	defer ticker.Stop()
	for !ok {
		select {
		case <-ctx.Done():
			return waited
		case <-ticker.C:
			waited = true
		}
		_, _, ok = l.Config.Lease()
	}
	return waited
}

// Check sets the active revision on x, or returns a rejection that names the entry
// addresses of other routers, at which they accept callers.
func (l *Lease) Check(x *Exchange, step string) error {
	revision, until, ok := l.Config.Lease()
	if ok && time.Now().Before(until) {
		x.Revision = revision
		return nil
	}
	var entries []string
	if l.Entries != nil {
		entries = l.Entries(x.Demand.Contract.GetCustomer())
	}
	return x.Reject(Rejection{
		Code:       "no-lease",
		Message:    "this router's configuration may be out of date; use another entry",
		Step:       step,
		RetryAfter: leaseRetryAfter,
		Entries:    entries,
	})
}
