package filter

import (
	"context"
	"fmt"
	"time"
)

// leaseRetryAfter is when a router without a lease is worth another try.
const leaseRetryAfter = 2 * time.Second

// Lease takes no new work unless the configuration lease holds.
type Lease struct {
	Config ConfigView
	// Entries returns addresses of other routers for a customer; may be nil.
	Entries func(customer string) []string
}

// Name returns the filter's name in specs.
func (*Lease) Name() string { return StepLease }

// Handle refuses without a lease.
func (l *Lease) Handle(ctx context.Context, x *Exchange, next Next) error {
	if err := l.Check(x, StepLease); err != nil {
		return err
	}
	_, until, _ := l.Config.Lease()
	left := time.Until(until).Round(time.Millisecond)
	x.Note(StepLease, "", fmt.Sprintf("configuration revision %d under a lease for %s more", x.Revision, left))
	return next(ctx, x)
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
