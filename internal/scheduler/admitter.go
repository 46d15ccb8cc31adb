package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// Codes of results that are internal to the scheduler.
const (
	// codeMoved means that another router has become the owner.
	codeMoved = "moved"
	// codeReleased means that the request was released while it waited.
	codeReleased = "released"
)

// admitter makes a pool safe for concurrent use and lets goroutines block until
// the pool decides on their request.
type admitter struct {
	mu      sync.Mutex
	pool    *pool.Pool
	waiters map[pool.ID]chan pool.Result
	excess  map[string]*pool.Excess
	closed  bool
}

func newAdmitter(cfg pool.Config) *admitter {
	return &admitter{
		pool:    pool.New(cfg),
		waiters: make(map[pool.ID]chan pool.Result),
		excess:  make(map[string]*pool.Excess),
	}
}

// admit blocks until the final decision on a request and returns it. If ctx ends
// first, admit releases the request and returns the error of ctx.
func (a *admitter) admit(ctx context.Context, r pool.Request) (pool.Result, error) {
	decided, result := a.submit(r)
	if decided == nil {
		return result, nil
	}
	select {
	case result = <-decided:
		return result, nil
	case <-ctx.Done():
		a.release(r.ID)
		return pool.Result{}, ctx.Err()
	}
}

// submit returns the decision, or a channel that receives the decision later.
func (a *admitter) submit(r pool.Request) (<-chan pool.Result, pool.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, pool.Result{ID: r.ID, Kind: pool.Refused, Code: codeMoved}
	}
	results := a.pool.Submit(time.Now(), r)
	a.deliver(results[1:])
	if results[0].Kind != pool.Queued {
		return nil, results[0]
	}
	// The channel has a buffer of one, so that delivery never blocks.
	decided := make(chan pool.Result, 1)
	a.waiters[r.ID] = decided
	return decided, results[0]
}

// release releases the slots of requests, or removes them from the queue.
func (a *admitter) release(ids ...pool.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		a.deliver([]pool.Result{{ID: id, Kind: pool.Refused, Code: codeReleased}})
		a.deliver(a.pool.Release(time.Now(), id))
	}
}

// reconcile aligns the slots counted for a router with the list that the router
// reports.
func (a *admitter) reconcile(router string, incarnation, upTo uint64, held []pool.HeldSlot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.pool.Reconcile(time.Now(), router, incarnation, upTo, held))
}

// update replaces the targets, releases the slots of routers that are not alive,
// and decides on waiting requests.
func (a *admitter) update(targets []pool.Target, reports []pool.Report, alive func(pool.ID) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.updateExcess(targets, reports)
	a.pool.SetTargets(now, targets)
	a.deliver(a.pool.ReleaseAbsentRouters(now, alive))
	a.deliver(a.pool.Tick(now))
}

func (a *admitter) applyCacheEvents(engine string, incarnation, from uint64, events []placement.CacheEvent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pool.ApplyCacheEvents(time.Now(), engine, incarnation, from, events)
}

func (a *admitter) stats() pool.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pool.Stats()
}

// close refuses all waiting and all later requests.
func (a *admitter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for id, decided := range a.waiters {
		delete(a.waiters, id)
		decided <- pool.Result{ID: id, Kind: pool.Refused, Code: codeMoved}
	}
}

func (a *admitter) deliver(results []pool.Result) {
	for _, r := range results {
		if decided, ok := a.waiters[r.ID]; ok {
			delete(a.waiters, r.ID)
			decided <- r
		}
	}
}

// updateExcess sets the excess of the targets from their load reports. reports[i]
// is the report of targets[i].
func (a *admitter) updateExcess(targets []pool.Target, reports []pool.Report) {
	present := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		e, ok := a.excess[t.ID]
		if !ok {
			e = &pool.Excess{}
			a.excess[t.ID] = e
		}
		e.Add(reports[i], a.pool.Granted(t.ID))
		t.Excess = e.Sustained()
	}
	for id := range a.excess {
		if !present[id] {
			delete(a.excess, id)
		}
	}
}
