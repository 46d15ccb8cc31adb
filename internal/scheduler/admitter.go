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
func (g *admitter) admit(ctx context.Context, r pool.Request) (pool.Result, error) {
	decided, result := g.submit(r)
	if decided == nil {
		return result, nil
	}
	select {
	case result = <-decided:
		return result, nil
	case <-ctx.Done():
		g.release(r.ID)
		return pool.Result{}, ctx.Err()
	}
}

// submit returns the decision, or a channel that receives the decision later.
func (g *admitter) submit(r pool.Request) (<-chan pool.Result, pool.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, pool.Result{ID: r.ID, Kind: pool.Refused, Code: codeMoved}
	}
	results := g.pool.Submit(time.Now(), r)
	g.deliver(results[1:])
	if results[0].Kind != pool.Queued {
		return nil, results[0]
	}
	// The channel has a buffer of one, so that delivery never blocks.
	decided := make(chan pool.Result, 1)
	g.waiters[r.ID] = decided
	return decided, results[0]
}

// release releases the slots of requests, or removes them from the queue.
func (g *admitter) release(ids ...pool.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		g.deliver([]pool.Result{{ID: id, Kind: pool.Refused, Code: codeReleased}})
		g.deliver(g.pool.Release(time.Now(), id))
	}
}

// reconcile aligns the slots counted for a router with the list that the router
// reports.
func (g *admitter) reconcile(router string, incarnation, upTo uint64, held []pool.HeldSlot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.pool.Reconcile(time.Now(), router, incarnation, upTo, held))
}

// update replaces the targets, releases the slots of routers that are not alive,
// and decides on waiting requests.
func (g *admitter) update(targets []pool.Target, reports []pool.Report, alive func(pool.ID) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.updateExcess(targets, reports)
	g.pool.SetTargets(now, targets)
	g.deliver(g.pool.ReleaseAbsentRouters(now, alive))
	g.deliver(g.pool.Tick(now))
}

func (g *admitter) applyCacheEvents(engine string, incarnation, from uint64, events []placement.CacheEvent) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.ApplyCacheEvents(time.Now(), engine, incarnation, from, events)
}

func (g *admitter) stats() pool.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Stats()
}

// close refuses all waiting and all later requests.
func (g *admitter) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for id, decided := range g.waiters {
		delete(g.waiters, id)
		decided <- pool.Result{ID: id, Kind: pool.Refused, Code: codeMoved}
	}
}

func (g *admitter) deliver(results []pool.Result) {
	for _, r := range results {
		if decided, ok := g.waiters[r.ID]; ok {
			delete(g.waiters, r.ID)
			decided <- r
		}
	}
}

// updateExcess sets the excess of the targets from their load reports. reports[i]
// is the report of targets[i].
func (g *admitter) updateExcess(targets []pool.Target, reports []pool.Report) {
	present := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		e, ok := g.excess[t.ID]
		if !ok {
			e = &pool.Excess{}
			g.excess[t.ID] = e
		}
		e.Add(reports[i], g.pool.Granted(t.ID))
		t.Excess = e.Sustained()
	}
	for id := range g.excess {
		if !present[id] {
			delete(g.excess, id)
		}
	}
}
