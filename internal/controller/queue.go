package controller

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wigeonwood/wigeonwood/internal/errs"
)

const (
	// maxKeys bounds the keys that a queue holds.
	maxKeys = 65_536
	// backoffMin and backoffMax bound the wait after a failed pass; it doubles
	// with each failure in a row.
	backoffMin = 200 * time.Millisecond
	backoffMax = 30 * time.Second
)

// Result of one pass over a key.
type Result struct {
	// RequeueAfter is when to look at the key again; zero means when it is added.
	RequeueAfter time.Duration
}

// Reconciler brings one key's object to its desired state.
type Reconciler interface {
	Reconcile(ctx context.Context, key string) (Result, error)
}

// QueueConfig holds what a Queue works with.
type QueueConfig struct {
	Name       string
	Reconciler Reconciler
	// Workers is how many keys are worked on at once.
	Workers int
	// PerSecond bounds the passes a second, Burst those at once.
	PerSecond float64
	Burst     int
	Logger    *log.Logger
	Scope     tally.Scope
}

// Queue calls a reconciler for keys: one pass at a time for each key, limited
// in rate, with a growing wait after failures.
type Queue struct {
	cfg     QueueConfig
	limiter *rate.Limiter

	mu sync.Mutex
	// ready holds the keys to work on, in order; items holds every key that
	// is waiting, running or backing off.
	ready []string
	items map[string]*item
	wake  chan struct{}

	reconciliations tally.Counter
	failed          tally.Counter
	droppedKeys     tally.Counter
}

type item struct {
	queued   bool
	running  bool
	rerun    bool
	failures int
	timer    *time.Timer
}

// NewQueue makes a queue; Run works on it.
func NewQueue(cfg QueueConfig) *Queue {
	scope := cfg.Scope.SubScope("controller").Tagged(map[string]string{"controller": cfg.Name})
	return &Queue{
		cfg:             cfg,
		limiter:         rate.NewLimiter(rate.Limit(cfg.PerSecond), cfg.Burst),
		items:           make(map[string]*item),
		wake:            make(chan struct{}, 1),
		reconciliations: scope.Counter("passes"),
		failed:          scope.Counter("failures"),
		droppedKeys:     scope.Counter("keys_dropped"),
	}
}

// Add asks for a pass over key soon, also if one is running now. It cuts a
// backoff short only if the key isn't failing.
func (q *Queue) Add(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[key]
	switch {
	case it == nil:
		if len(q.items) >= maxKeys {
			q.droppedKeys.Inc(1)
			return
		}
		it = &item{}
		q.items[key] = it
		q.enqueueLocked(key, it)
	case it.running:
		it.rerun = true
	case it.failures == 0:
		q.enqueueLocked(key, it)
	}
}

func (q *Queue) enqueueLocked(key string, it *item) {
	if it.queued {
		return
	}
	if it.timer != nil {
		it.timer.Stop()
		it.timer = nil
	}
	it.queued = true
	q.ready = append(q.ready, key)
	q.wakeWorker()
}

func (q *Queue) wakeWorker() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends and returns once all passes have.
func (q *Queue) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range q.cfg.Workers {
		workers.Go(func() { q.work(ctx) })
	}
	workers.Wait()
	q.stopTimers()
}

func (q *Queue) stopTimers() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range q.items {
		if it.timer != nil {
			it.timer.Stop()
		}
	}
}

func (q *Queue) work(ctx context.Context) {
	for {
		key, ok := q.dequeue()
		if !ok {
			select {
			case <-q.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if q.limiter.Wait(ctx) != nil {
			return
		}
		result, err := q.cfg.Reconciler.Reconcile(ctx, key)
		q.finish(ctx, key, result, err)
	}
}

func (q *Queue) dequeue() (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ready) == 0 {
		return "", false
	}
	key := q.ready[0]
	q.ready = q.ready[1:]
	if len(q.ready) > 0 {
		// Another worker may be asleep.
		q.wakeWorker()
	}
	it := q.items[key]
	it.queued = false
	it.running = true
	return key, true
}

func (q *Queue) finish(ctx context.Context, key string, result Result, err error) {
	q.reconciliations.Inc(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[key]
	it.running = false
	again := it.rerun
	it.rerun = false
	switch {
	case ctx.Err() != nil:
	case err != nil:
		q.failed.Inc(1)
		q.cfg.Logger.Warn().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).
			Str("controller", q.cfg.Name).Str("key", key).Msg("the pass failed")
		wait := min(backoffMin<<min(it.failures, 10), backoffMax)
		it.failures++
		q.enqueueAfterLocked(key, it, wait)
	case again:
		it.failures = 0
		q.enqueueLocked(key, it)
	case result.RequeueAfter > 0:
		it.failures = 0
		q.enqueueAfterLocked(key, it, result.RequeueAfter)
	default:
		delete(q.items, key)
	}
}

func (q *Queue) enqueueAfterLocked(key string, it *item, wait time.Duration) {
	it.timer = time.AfterFunc(wait, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.items[key] == it && !it.running {
			q.enqueueLocked(key, it)
		}
	})
}
