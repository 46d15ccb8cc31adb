package filter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedLease expires at ends and is valid again from the time from on. A zero from
// means that the lease is not renewed.
type scriptedLease struct {
	*fake
	ends, from time.Time
}

func (l *scriptedLease) Lease() (uint64, time.Time, bool) {
	now := time.Now()
	if !l.from.IsZero() && !now.Before(l.from) {
		return 4, now.Add(time.Minute), true
	}
	return 3, l.ends, now.Before(l.ends)
}

// TestRequestsAroundARenewal sends requests while a lease expires and is renewed later,
// or never. Requests within a second of the expiry wait for the renewal and no longer
// than that, all others are rejected at once, and none is served without a lease.
func TestRequestsAroundARenewal(t *testing.T) {
	for name, c := range map[string]struct {
		// gap is the time without a lease; zero if it is never renewed.
		gap    time.Duration
		gaveUp bool
	}{
		"renewed in time": {gap: 600 * time.Millisecond},
		"renewed late":    {gap: 2 * time.Second},
		"never renewed":   {},
		"given up":        {gap: 600 * time.Millisecond, gaveUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				view := &scriptedLease{fake: newFake(), ends: start}
				if c.gap > 0 {
					view.from = start.Add(c.gap)
				}
				if c.gaveUp {
					view.ends = time.Time{}
				}
				lease := &Lease{Config: view}
				var callers sync.WaitGroup
				for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
					callers.Go(func() {
						time.Sleep(at)
						received := time.Now()
						served := false
						err := lease.Handle(t.Context(), &Exchange{Received: received}, func(context.Context, *Exchange) error {
							served = true
							return nil
						})
						took := time.Since(received)
						renewed := c.gap > 0 && at+took >= c.gap
						wait := !c.gaveUp && at < renewalWaitLimit
						var refusal *Rejection
						switch {
						case served && !renewed:
							t.Errorf("request at %v: served without a lease", at)
						case !served && (!errors.As(err, &refusal) || refusal.Outcome() != OutcomeNotRun):
							t.Errorf("request at %v: %v", at, err)
						case took > renewalWaitLimit || !wait && took > 0:
							t.Errorf("request at %v: waited %v", at, took)
						case !served && wait && c.gap > 0 && c.gap <= renewalWaitLimit:
							t.Errorf("request at %v: rejected, although the lease was renewed at %v", at, c.gap)
						}
					})
				}
				callers.Wait()
				if lease.waiting.Load() != 0 {
					t.Errorf("%d requests are still counted", lease.waiting.Load())
				}
			})
		})
	}
}
