package filter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// leaseRetryAfter is when a router without a lease is worth another try.
	leaseRetryAfter = 2 * time.Second
	// renewalWaitLimit is how long after the end of its lease a router is likely to have a new
	// one: a new leader is elected in about a second.
	renewalWaitLimit = time.Second
	// renewalPoll is the time between two looks for it.
	renewalPoll = 20 * time.Millisecond
	// maxRenewalWaiters bounds the requests that wait for it at one router.
	maxRenewalWaiters = 512
)

// Lease takes no new work unless the configuration lease holds.
type Lease struct {
	Config ConfigView
	// Entries returns addresses of other routers for a customer; may be nil.
	Entries func(customer string) []string

	// waiting counts the requests that wait for a renewal.
	waiting atomic.Int64
}

// Name returns the filter's name in specs.
func (*Lease) Name() string { return StepLease }

// Handle refuses without a lease. One that ended a moment ago is mostly renewed soon.
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

// awaitRenewal waits for a new lease if the last one ended less than renewalTime ago; a
// router that gave it up has no end to count from. It answers leases that end while a
// leader is elected on busy machines. It tells whether it waited.
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

// Check sets the revision in force, or returns a rejection that names other
// entries.
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
