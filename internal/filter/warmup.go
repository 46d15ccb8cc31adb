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
	// warmupWaitDivisor divides the caller's time limit. A request may wait for the
	// quotient until the router is ready. The rest of the time limit is for serving the
	// request, or for one more try of the caller.
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
// targets. A request waits if both can still arrive in time, or else is rejected with a
// Retry-After that ends after the warm-up. Warmup protects against the load after a
// restart of the whole fleet: callers retry only once, so a retry before the router is
// ready would be their last. Warmup is safe for concurrent use.
type Warmup struct {
	started time.Time
	// requests and bytes count the waiting requests and the sizes of their bodies.
	requests atomic.Int64
	bytes    atomic.Int64
}

// NewWarmup returns the Warmup of a router that starts now.
func NewWarmup(now time.Time) *Warmup { return &Warmup{started: now} }

// waitEnd returns the time at which a request must stop waiting. With a zero deadline,
// only the end of the warm-up bounds the wait.
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

// active reports whether the warm-up still lasts. Until its end the routing table may
// lack entries that other routers have, because a control replica that has just started,
// like this router, may lack the last changes.
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

// RetryAfter returns the time from now after which a rejected caller may retry. It ends
// after the warm-up; random, between 0 and 1, selects the jitter.
func (w *Warmup) RetryAfter(now time.Time, random float64) time.Duration {
	return jitteredRetryAfter(w.started.Add(warmupDuration).Sub(now), random)
}

// await waits until ready is closed. It returns false if the request may not wait, or
// not that long.
func (w *Warmup) await(ctx context.Context, x *Exchange, ready <-chan struct{}) bool {
	ctx, stop, ok := w.beginWait(ctx, x)
	if !ok {
		return false
	}
	defer stop()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// poll calls try after warmupPoll, and again after each pause that try returned, until
// try returns zero. It returns false if the request may not wait that long.
func (w *Warmup) poll(ctx context.Context, x *Exchange, try func() time.Duration) bool {
	ctx, stop, ok := w.beginWait(ctx, x)
	if !ok {
		return false
	}
	defer stop()
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

// beginWait counts a request that begins to wait. ok is false if the request may not
// wait, because its time is over or too many requests or bytes wait already. The
// returned context ends when the request must stop waiting. If ok is true, stop must
// be called at the end of the wait.
func (w *Warmup) beginWait(ctx context.Context, x *Exchange) (waiting context.Context, stop func(), ok bool) {
	end := w.waitEnd(x.Received, x.Deadline)
	if !time.Now().Before(end) {
		return nil, nil, false
	}
	size := int64(len(x.Body))
	release := func() {
		w.requests.Add(-1)
		w.bytes.Add(-size)
	}
	requests, bytes := w.requests.Add(1), w.bytes.Add(size)
	if requests > maxWarmupWaiters || bytes > maxWarmupBytes {
		release()
		return nil, nil, false
	}
	waiting, cancel := context.WithDeadline(ctx, end)
	stop = func() {
		cancel()
		release()
	}
	return waiting, stop, true
}

func (w *Warmup) retryAfter() time.Duration { return w.RetryAfter(time.Now(), rand.Float64()) }

// jitteredRetryAfter returns wait, but at least minRetryAfter, plus jitter, so that
// callers rejected together don't retry together. random, between 0 and 1, selects the
// jitter.
func jitteredRetryAfter(wait time.Duration, random float64) time.Duration {
	return max(minRetryAfter, wait) + time.Duration(random*float64(retryJitter))
}

// busyRetryAfter returns the time after which a caller may retry if all targets were
// too busy. random, between 0 and 1, selects the jitter.
func busyRetryAfter(random float64) time.Duration { return jitteredRetryAfter(0, random) }
