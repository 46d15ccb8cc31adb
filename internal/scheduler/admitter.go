package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// Codes of results in addition to the codes of package pool.
const (
	// codeMoved means that another router has become the owner or that this
	// router has stopped admitting. The requesting router tries the next
	// candidate and does not return this code to callers.
	codeMoved = "moved"
	// codeReleased means that the request was released while it waited, for
	// example because the call of the requesting router timed out.
	codeReleased = "released"
)

// admitter makes a pool safe for concurrent use. Its method admit blocks until the
// pool decides on a request.
type admitter struct {
	mu   sync.Mutex
	pool *pool.Pool
	// waiters holds a channel for each queued request.
	waiters map[pool.ID]chan pool.Result
	// excess tracks the load reports of each target.
	excess map[string]*pool.Excess
	closed bool
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

// submit returns a nil channel and the decision on a request. If the request was
// queued, submit returns a channel instead, which receives the decision later.
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
	// A channel receives only one result. With a buffer of one, deliver never
	// blocks.
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

// close refuses all waiting and all later requests with codeMoved.
func (a *admitter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for id, decided := range a.waiters {
		delete(a.waiters, id)
		decided <- pool.Result{ID: id, Kind: pool.Refused, Code: codeMoved}
	}
}

// deliver sends the results to the goroutines that wait for them.
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
