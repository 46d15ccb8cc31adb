package filter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// TestReturnAfterARestart has callers rejected throughout the warm-up, which ends 1.3 s
// after a router's start. Each of them must retry only after the warm-up, and their
// retries must not come in a burst.
func TestReturnAfterARestart(t *testing.T) {
	started := time.Unix(1000, 0)
	w := NewWarmup(started)
	returns := make(map[time.Duration]int)
	for at := time.Duration(0); at < warmupDuration; at += 10 * time.Millisecond {
		now := started.Add(at)
		random := float64(at%(130*time.Millisecond)) / float64(130*time.Millisecond)
		retryAt := at + w.RetryAfter(now, random)
		if retryAt < warmupDuration {
			t.Errorf("rejected at %v, retry at %v", at, retryAt)
		}
		returns[retryAt.Truncate(100*time.Millisecond)]++
	}
	for at, n := range returns {
		if n > 130/2 {
			t.Errorf("%d of 130 callers retry within 100 ms of %v", n, at)
		}
	}
	if late := w.RetryAfter(started.Add(time.Hour), 0); late != minRetryAfter {
		t.Errorf("long after the start: %v, want %v", late, minRetryAfter)
	}
}

// lateTables has no routing table at first.
type lateTables struct{ holder routing.Holder }

func (l *lateTables) Current() *routing.Index { return l.holder.Current() }
func (l *lateTables) Loaded() <-chan struct{} { return l.holder.Loaded() }

// latePicker has one target from a point in time on.
type latePicker struct{ from time.Time }

func (p *latePicker) Pick(context.Context, balance.Request) (balance.Choice, error) {
	if time.Now().Before(p.from) {
		return balance.Choice{}, balance.ErrNoTarget
	}
	return balance.Choice{Target: &pb.TargetStatus{Id: "t"}, Done: func(balance.Outcome) {}}, nil
}

// newStartedChain returns the routed chain of a router that starts now, without real
// targets.
func newStartedChain(tables Tables, picker Picker) *Chain {
	warmup := NewWarmup(time.Now())
	return &Chain{handler: link([]Filter{
		&Route{Tables: tables, Warmup: warmup},
		&Team{SurgeDetector: balance.NewSurgeDetector(), Warmup: warmup},
		&Dispatch{
			Guard:      &fakeGuard{},
			Picker:     picker,
			Retries:    &fixedRetries{},
			Prepare:    func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
			Warmup:     warmup,
			WaitLimits: NewWaitLimits(),
		},
		immediateForward{},
	})}
}

// immediateForward answers each request at once.
type immediateForward struct{}

func (immediateForward) Name() string { return StepForward }

func (immediateForward) Handle(_ context.Context, x *Exchange, _ Next) error {
	x.Token.Spend()
	x.Answer = &Answer{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}
	return nil
}

func newTable() *routing.Table {
	route := &routing.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: routing.NonIdempotent, MaxTargets: 1, Public: true,
		Timeout: 10 * time.Second, Goal: 400 * time.Millisecond,
		Services: []routing.WeightedService{{Service: "s", Weight: 1}},
	}
	return &routing.Table{Number: 1, Routes: []*routing.Route{route}, Services: []*routing.Service{{Name: "s"}}}
}

// TestRequestsDuringWarmup models the restart of a whole fleet: requests arrive all the
// time, the table arrives after 0.5 s and targets after 0.6 s. A request is answered if
// both are there within the share of its caller's time limit that it may wait (0.4 s
// for the shorter limit). Otherwise it is rejected in time for a retry.
func TestRequestsDuringWarmup(t *testing.T) {
	const tableAfter, targetsAfter = 500 * time.Millisecond, 600 * time.Millisecond
	for _, limit := range []time.Duration{800 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			tables := &lateTables{}
			chain := newStartedChain(tables, &latePicker{from: start.Add(targetsAfter)})
			time.AfterFunc(tableAfter, func() { tables.holder.Apply(newTable()) })
			var callers sync.WaitGroup
			for at := time.Duration(0); at < targetsAfter; at += 20 * time.Millisecond {
				callers.Go(func() {
					time.Sleep(at)
					x := &Exchange{Host: "h", Path: "/", Received: time.Now(), WaitLimit: limit, Deadline: time.Now().Add(limit)}
					err := chain.Run(t.Context(), x)
					took := time.Since(x.Received)
					x.End()
					switch rejection := (*Rejection)(nil); {
					case errors.As(err, &rejection):
						if rejection.Outcome() != OutcomeNotRun || rejection.RetryAfter == 0 {
							t.Errorf("request at %v: outcome %s, Retry-After %v", at, rejection.Outcome(), rejection.RetryAfter)
						}
						if took > limit/warmupWaitDivisor || at+limit/warmupWaitDivisor > targetsAfter+warmupPoll {
							t.Errorf("request at %v with a time limit of %v: rejected after %v", at, limit, took)
						}
					case err != nil:
						t.Errorf("request at %v: %v", at, err)
					case at+took > targetsAfter+warmupPoll:
						t.Errorf("request at %v: answered after %v", at, took)
					}
				})
			}
			callers.Wait()
		})
	}
}

// TestNobodyWaitsAfterWarmup checks that a router without a table rejects requests at
// once after the warm-up.
func TestNobodyWaitsAfterWarmup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chain := newStartedChain(&lateTables{}, &latePicker{})
		time.Sleep(warmupDuration)
		began := time.Now()
		x := &Exchange{Host: "h", Path: "/", Received: began, Deadline: began.Add(10 * time.Second)}
		var rejection *Rejection
		if err := chain.Run(t.Context(), x); !errors.As(err, &rejection) || time.Since(began) > 0 {
			t.Errorf("%v after %v, want a refusal at once", err, time.Since(began))
		}
	})
}

// TestWarmupIsBounded checks the bounds on the number of waiting requests and on the
// sum of their bodies.
func TestWarmupIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ requests, body int }{
		"many requests": {maxWarmupWaiters, 0},
		"large bodies":  {2, maxWarmupBytes / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWarmup(time.Now())
				wait := func() (waited time.Duration) {
					began := time.Now()
					w.await(t.Context(), &Exchange{Received: began, Body: make([]byte, c.body)}, nil)
					return time.Since(began)
				}
				var callers sync.WaitGroup
				for range c.requests {
					callers.Go(func() {
						if waited := wait(); waited != warmupDuration {
							t.Errorf("a request within the bounds waited %v", waited)
						}
					})
				}
				synctest.Wait()
				w.bytes.Add(1)
				if waited := wait(); waited > 0 {
					t.Errorf("a request beyond the bounds waited %v", waited)
				}
				w.bytes.Add(-1)
				callers.Wait()
				if w.requests.Load() != 0 || w.bytes.Load() != 0 {
					t.Errorf("%d requests and %d bytes are still counted", w.requests.Load(), w.bytes.Load())
				}
			})
		})
	}
}

// TestUnknownAtASettlingRouter requests a route and uses a key that the first table
// after a start lacks. During the warm-up the rejection names a time to retry; after it
// the rejection is final.
func TestUnknownAtASettlingRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := &lateTables{}
		table := newTable()
		table.Routes[0].Public = false
		table.Teams = []*routing.Team{{Name: "team", Keys: []string{"key"}}}
		tables.holder.Apply(table)
		chain := newStartedChain(tables, &latePicker{})
		request := func(host, key string) *Rejection {
			x := &Exchange{Host: host, Path: "/", Bearer: key, Received: time.Now(), Deadline: time.Now().Add(3 * time.Second)}
			defer x.End()
			var rejection *Rejection
			if err := chain.Run(t.Context(), x); err != nil && !errors.As(err, &rejection) {
				t.Error(err)
			}
			return rejection
		}
		if r := request("h", "key"); r != nil {
			t.Errorf("a request that the table allows is refused: %v", r)
		}
		for _, settled := range []bool{false, true} {
			for _, c := range []struct {
				host, key string
				final     int
			}{{"other", "key", http.StatusNotFound}, {"h", "other", http.StatusUnauthorized}} {
				want := c.final
				if !settled {
					want = http.StatusServiceUnavailable
				}
				r := request(c.host, c.key)
				if r == nil || r.Status != want || (r.RetryAfter > 0) == settled || r.Outcome() != OutcomeNotRun {
					t.Errorf("settled %t, host %q, key %q: %+v, want status %d", settled, c.host, c.key, r, want)
				}
			}
			time.Sleep(warmupDuration)
		}
	})
}
