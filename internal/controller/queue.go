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
	// maxKeys bounds the keys in a queue.
	maxKeys = 65_536
	// backoffMin is the wait after the first failure of a key. The wait doubles with
	// each consecutive failure, up to backoffMax (exponential back-off).
	backoffMin = 200 * time.Millisecond
	backoffMax = 30 * time.Second
)

// Result is the outcome of one reconciliation.
type Result struct {
	// RequeueAfter is the time after which the key is reconciled again. Zero means not
	// until the next Add.
	RequeueAfter time.Duration
}

// Reconciler brings the object that key identifies to its desired state.
type Reconciler interface {
	Reconcile(ctx context.Context, key string) (Result, error)
}

// QueueConfig holds the dependencies and parameters of a Queue.
type QueueConfig struct {
	Name       string
	Reconciler Reconciler
	// Workers is the number of concurrent reconciliations.
	Workers int
	// PerSecond and Burst limit the rate of reconciliations with a token bucket.
	PerSecond float64
	Burst     int
	Logger    *log.Logger
	Scope     tally.Scope
}

// Queue is a work queue that calls a Reconciler for keys. It runs at most one
// reconciliation per key at a time, limits their rate, and retries failures with
// exponential back-off.
type Queue struct {
	cfg     QueueConfig
	limiter *rate.Limiter

	mu sync.Mutex
	// ready holds the keys to reconcile in FIFO order.
	ready []string
	// items holds every key that is ready, running or waiting for a timer.
	items map[string]*item
	// wake receives a value when a key becomes ready.
	wake chan struct{}

	reconciliations tally.Counter
	failed          tally.Counter
	droppedKeys     tally.Counter
}

// item is the state of one key.
type item struct {
	queued  bool
	running bool
	// rerun is set if the key was added during its reconciliation.
	rerun bool
	// failures is the number of consecutive failures.
	failures int
	// timer enqueues the key after a back-off or a requested delay.
	timer *time.Timer
}

// NewQueue returns a queue that does nothing until Run is called.
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

// Add enqueues key. If the key is being reconciled, another reconciliation follows. If
// the key waits for Result.RequeueAfter, Add ends the wait. If the key waits after a
// failure, Add does not shorten the back-off. Add drops the key if the queue already
// holds maxKeys keys.
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

// Run reconciles keys until ctx ends. It returns after the running reconciliations have
// ended.
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
		// The wake channel buffers one value only, so a worker may be idle although
		// several keys became ready.
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
	rerun := it.rerun
	it.rerun = false
	switch {
	case ctx.Err() != nil:
	case err != nil:
		q.failed.Inc(1)
		q.cfg.Logger.Warn().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).
			Str("controller", q.cfg.Name).Str("key", key).Msg("reconciliation failed")
		wait := min(backoffMin<<min(it.failures, 10), backoffMax)
		it.failures++
		q.enqueueAfterLocked(key, it, wait)
	case rerun:
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
