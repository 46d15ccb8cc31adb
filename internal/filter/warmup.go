package filter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// warmupDuration is how long after its start a router may lack the routing table or
	// targets: control replicas restart more slowly than routers, and targets announce
	// themselves about once a second.
	warmupDuration = 1300 * time.Millisecond
	// warmupWaitDivisor divides the caller's time limit: a request may wait this part
	// of it for a router to become ready. The rest is for the work, or for one more
	// try.
	warmupWaitDivisor = 2
	// warmupPoll is the interval at which a waiting request looks for a free slot at a
	// target.
	warmupPoll = 40 * time.Millisecond
	// maxWarmupWaiters and maxWarmupBytes bound the requests that wait at one router
	// and the sum of their bodies, to bound its memory.
	maxWarmupWaiters = 512
	maxWarmupBytes   = 16 << 20
	// retryJitter is the time over which the retries of rejected callers are spread.
	retryJitter = 400 * time.Millisecond
	// minRetryAfter is the least time after which a rejected caller may retry.
	minRetryAfter = 250 * time.Millisecond
)

// Warmup handles requests that reach a router before it has a routing table and
// targets. They wait while both can still arrive in time; all others are rejected with
// a Retry-After. Warmup protects against the load after a restart of the whole fleet: a
// caller retries only once, and a rejected caller must come back after the router is
// ready. Warmup is safe for concurrent use.
type Warmup struct {
	started time.Time
	// requests and bytes count the waiting requests and the sizes of their bodies.
	requests atomic.Int64
	bytes    atomic.Int64
}

// NewWarmup returns the Warmup of a router that starts now.
func NewWarmup(now time.Time) *Warmup { return &Warmup{started: now} }

// waitEnd returns until when a request may wait. A zero deadline sets no bound of its
// own.
func (w *Warmup) waitEnd(received, deadline time.Time) time.Time {
	end := w.started.Add(warmupDuration)
	if deadline.IsZero() {
		return end
	}
	if share := received.Add(deadline.Sub(received) / warmupWaitDivisor); share.Before(end) {
		return share
	}
	return end
}

// active reports whether this router started so recently that its table may lack
// entries that other routers have: control replicas that have just started too know all
// but the last changes.
func (w *Warmup) active(now time.Time) bool { return now.Before(w.started.Add(warmupDuration)) }

// rejectUnknown rejects a request that the active table does not allow. During the
// warm-up the table may be incomplete, so the rejection is not final.
func (w *Warmup) rejectUnknown(x *Exchange, r Rejection) *Rejection {
	if w.active(time.Now()) {
		r.Status = http.StatusServiceUnavailable
		r.RetryAfter = w.retryAfter()
	}
	return x.Reject(r)
}

// RetryAfter returns when a caller may retry; random is between 0 and 1.
func (w *Warmup) RetryAfter(now time.Time, random float64) time.Duration {
	return jitteredRetryAfter(w.started.Add(warmupDuration).Sub(now), random)
}

// await waits until ready is closed. It returns false if the request may not wait that
// long.
func (w *Warmup) await(ctx context.Context, x *Exchange, ready <-chan struct{}) bool {
	ctx, leave, ok := w.beginWait(ctx, x)
	if !ok {
		return false
	}
	defer leave()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// poll calls try until it returns zero, and waits before each further call for the time
// that try returned. It returns false if the request may not wait that long.
func (w *Warmup) poll(ctx context.Context, x *Exchange, try func() time.Duration) bool {
	ctx, leave, ok := w.beginWait(ctx, x)
	if !ok {
		return false
	}
	defer leave()
	timer := time.NewTimer(warmupPoll)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
		pause := try()
		if pause == 0 {
			return true
		}
		timer.Reset(pause)
	}
}

// beginWait counts a request that begins to wait; ok is false if it may not. The
// returned context ends when the request must stop waiting. The caller must call leave.
func (w *Warmup) beginWait(ctx context.Context, x *Exchange) (waiting context.Context, leave func(), ok bool) {
	end := w.waitEnd(x.Received, x.Deadline)
	if !time.Now().Before(end) {
		return nil, nil, false
	}
	size := int64(len(x.Body))
	uncount := func() {
		w.requests.Add(-1)
		w.bytes.Add(-size)
	}
	requests, bytes := w.requests.Add(1), w.bytes.Add(size)
	if requests > maxWarmupWaiters || bytes > maxWarmupBytes {
		uncount()
		return nil, nil, false
	}
	waiting, cancel := context.WithDeadline(ctx, end)
	leave = func() {
		cancel()
		uncount()
	}
	return waiting, leave, true
}

func (w *Warmup) retryAfter() time.Duration { return w.RetryAfter(time.Now(), rand.Float64()) }

// jitteredRetryAfter returns wait, but at least minRetryAfter, plus jitter, so that
// callers rejected together don't retry together; random is between 0 and 1.
func jitteredRetryAfter(wait time.Duration, random float64) time.Duration {
	return max(minRetryAfter, wait) + time.Duration(random*float64(retryJitter))
}

// busyRetryAfter returns when a caller may retry after all targets were too busy;
// random is between 0 and 1.
func busyRetryAfter(random float64) time.Duration { return jitteredRetryAfter(0, random) }
