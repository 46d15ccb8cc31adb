package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// gate lets goroutines wait for the decisions of a pool.
type gate struct {
	mu      sync.Mutex
	pool    *pool.Pool
	waiters map[pool.ID]chan pool.Result
}

func newGate(cfg pool.Config) *gate {
	return &gate{
		pool:    pool.New(cfg),
		waiters: make(map[pool.ID]chan pool.Result),
	}
}

// admit returns the final decision on a request. If ctx ends first, what the
// request held is given back and the context's error returned.
func (g *gate) admit(ctx context.Context, r pool.Request) (pool.Result, error) {
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

// submit returns the decision, or a channel that will carry it.
func (g *gate) submit(r pool.Request) (<-chan pool.Result, pool.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	results := g.pool.Submit(time.Now(), r)
	g.deliver(results[1:])
	if results[0].Kind != pool.Queued {
		return nil, results[0]
	}
	// One place in the channel, so that delivery never blocks.
	decided := make(chan pool.Result, 1)
	g.waiters[r.ID] = decided
	return decided, results[0]
}

// release gives back what a request holds or waits for.
func (g *gate) release(id pool.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.deliver(g.pool.Release(time.Now(), id))
}

// update replaces the targets and decides what can be decided since.
func (g *gate) update(targets []pool.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.pool.SetTargets(now, targets)
	g.deliver(g.pool.Tick(now))
}

func (g *gate) cacheEvents(engine string, incarnation, from uint64, events []placement.CacheEvent) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.CacheEvents(time.Now(), engine, incarnation, from, events)
}

func (g *gate) granted(target string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Granted(target)
}

func (g *gate) stats() pool.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Stats()
}

func (g *gate) deliver(results []pool.Result) {
	for _, r := range results {
		if decided, ok := g.waiters[r.ID]; ok {
			delete(g.waiters, r.ID)
			decided <- r
		}
	}
}
