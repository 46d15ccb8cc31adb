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

// TestReturnAfterARestart replays a restart: the router serves from 1.3 s on. A
// caller that is refused at any time before comes back once it does, and callers
// don't come back together.
func TestReturnAfterARestart(t *testing.T) {
	started := time.Unix(1000, 0)
	w := NewWarmup(started)
	returns := make(map[time.Duration]int)
	for at := time.Duration(0); at < warmupDuration; at += 10 * time.Millisecond {
		now := started.Add(at)
		draw := float64(at%(130*time.Millisecond)) / float64(130*time.Millisecond)
		back := at + w.RetryAfter(now, draw)
		if back < warmupDuration {
			t.Errorf("refused at %v, back at %v", at, back)
		}
		returns[back.Truncate(100*time.Millisecond)]++
	}
	for at, n := range returns {
		if n > 130/2 {
			t.Errorf("%d of 130 callers come back within 100 ms of %v", n, at)
		}
	}
	if late := w.RetryAfter(started.Add(time.Hour), 0); late != minRetryAfter {
		t.Errorf("long after the start: %v, want %v", late, minRetryAfter)
	}
}

// lateTables has its first table after a while.
type lateTables struct{ holder routing.Holder }

func (l *lateTables) Current() *routing.Index { return l.holder.Current() }
func (l *lateTables) Loaded() <-chan struct{} { return l.holder.Loaded() }

// latePicker has one target from a time on.
type latePicker struct{ from time.Time }

func (p *latePicker) Pick(context.Context, balance.Request) (balance.Choice, error) {
	if time.Now().Before(p.from) {
		return balance.Choice{}, balance.ErrNoTarget
	}
	return balance.Choice{Target: &pb.TargetStatus{Id: "t"}, Done: func(balance.Outcome) {}}, nil
}

// newStartedChain is a router's chain without its targets.
func newStartedChain(tables Tables, picker Picker) *Chain {
	warmup := NewWarmup(time.Now())
	return &Chain{handler: link([]Filter{
		&Route{Tables: tables, Warmup: warmup},
		&Team{Counts: balance.NewTeams(), Warmup: warmup},
		&Dispatch{
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

// TestRequestsDuringWarmup replays the restart of a whole fleet: callers ask all the
// while, the table comes after 0.5 s and targets after 0.6 s. Those who can be
// answered within 0.4 s are, those with little patience are refused in time to come
// back, and after the warm-up nobody waits.
func TestRequestsDuringWarmup(t *testing.T) {
	const tableAfter, targetsAfter = 500 * time.Millisecond, 600 * time.Millisecond
	for _, patience := range []time.Duration{800 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			tables := &lateTables{}
			chain := newStartedChain(tables, &latePicker{from: start.Add(targetsAfter)})
			time.AfterFunc(tableAfter, func() { tables.holder.Apply(newTable()) })
			var callers sync.WaitGroup
			for at := time.Duration(0); at < targetsAfter; at += 20 * time.Millisecond {
				callers.Go(func() {
					time.Sleep(at)
					x := &Exchange{Host: "h", Path: "/", Received: time.Now(), WaitLimit: patience, Deadline: time.Now().Add(patience)}
					err := chain.Run(t.Context(), x)
					took := time.Since(x.Received)
					x.End()
					switch rejection := (*Rejection)(nil); {
					case errors.As(err, &rejection):
						if rejection.Outcome() != OutcomeNotRun || rejection.RetryAfter == 0 {
							t.Errorf("asked at %v: outcome %s, come back after %v", at, rejection.Outcome(), rejection.RetryAfter)
						}
						if took > patience/warmupWaitDivisor || at+patience/warmupWaitDivisor > targetsAfter+warmupPoll {
							t.Errorf("asked at %v with %v of patience: refused after %v", at, patience, took)
						}
					case err != nil:
						t.Errorf("asked at %v: %v", at, err)
					case at+took > targetsAfter+warmupPoll:
						t.Errorf("asked at %v: answered after %v", at, took)
					}
				})
			}
			callers.Wait()
		})
	}
}

// TestNobodyWaitsAfterWarmup asks a router that has had its time and still lacks a
// table: it refuses at once.
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

// TestWarmupIsBounded has more requests, and larger ones, than a router has room for.
func TestWarmupIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ requests, body int }{
		"many requests": {maxWarmupWaiters, 0},
		"large bodies":  {2, maxWarmupBytes / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWarmup(time.Now())
				ask := func() (waited time.Duration) {
					began := time.Now()
					w.await(t.Context(), &Exchange{Received: began, Body: make([]byte, c.body)}, nil)
					return time.Since(began)
				}
				var callers sync.WaitGroup
				for range c.requests {
					callers.Go(func() {
						if waited := ask(); waited != warmupDuration {
							t.Errorf("one within the bounds waited %v", waited)
						}
					})
				}
				synctest.Wait()
				w.bytes.Add(1)
				if waited := ask(); waited > 0 {
					t.Errorf("one beyond the bounds waited %v", waited)
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

// TestUnknownAtASettlingRouter asks for a route and with a key that the first table after
// a start doesn't have. Until the router has settled, its refusal tells when to come back;
// then it is final.
func TestUnknownAtASettlingRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := &lateTables{}
		table := newTable()
		table.Routes[0].Public = false
		table.Teams = []*routing.Team{{Name: "team", Keys: []string{"key"}}}
		tables.holder.Apply(table)
		chain := newStartedChain(tables, &latePicker{})
		ask := func(host, key string) *Rejection {
			x := &Exchange{Host: host, Path: "/", Bearer: key, Received: time.Now(), Deadline: time.Now().Add(3 * time.Second)}
			defer x.End()
			var rejection *Rejection
			if err := chain.Run(t.Context(), x); err != nil && !errors.As(err, &rejection) {
				t.Error(err)
			}
			return rejection
		}
		if r := ask("h", "key"); r != nil {
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
				r := ask(c.host, c.key)
				if r == nil || r.Status != want || (r.RetryAfter > 0) == settled || r.Outcome() != OutcomeNotRun {
					t.Errorf("settled %t, host %q, key %q: %+v, want status %d", settled, c.host, c.key, r, want)
				}
			}
			time.Sleep(warmupDuration)
		}
	})
}
