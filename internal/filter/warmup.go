package filter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// warmupDuration is how long after its start a router may lack the routing table
	// or targets: the replicas restart more slowly, and targets announce
	// themselves about once a second.
	warmupDuration = 1300 * time.Millisecond
	// warmupWaitDivisor is the part of a caller's patience that its request may wait
	// for a router to become ready; the rest is for the work, or for one more try.
	warmupWaitDivisor = 2
	// warmupPoll is the time between two looks for a place at a target.
	warmupPoll = 40 * time.Millisecond
	// maxWarmupWaiters and maxWarmupBytes bound the requests that wait at one router
	// and their bodies, for its memory.
	maxWarmupWaiters = 512
	maxWarmupBytes   = 16 << 20
	// retryJitter is the time over which refused callers come back.
	retryJitter = 400 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller comes back.
	minRetryAfter = 250 * time.Millisecond
)

// Warmup decides what becomes of requests that reach a router before it has a table
// and targets. They wait while there is hope that both come in time; the others are
// refused and told when to come back. It answers the load after a restart of the
// whole fleet: a caller tries again only once, and one that is refused comes back
// later than the router is ready. It is safe for concurrent use.
type Warmup struct {
	started time.Time
	// requests and bytes are of those that wait.
	requests atomic.Int64
	bytes    atomic.Int64
}

// NewWarmup makes one for a router that starts now.
func NewWarmup(now time.Time) *Warmup { return &Warmup{started: now} }

// waitEnd is until when a request that was received at a time may wait. A zero
// deadline sets no bound of its own.
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

// active tells whether this router has started so lately that its table may lack what
// others have: replicas that have just started too know all but the last changes.
func (w *Warmup) active(now time.Time) bool { return now.Before(w.started.Add(warmupDuration)) }

// rejectUnknown refuses a request that the table in force does not allow. A router that
// settles can't tell, so its refusal is not final.
func (w *Warmup) rejectUnknown(x *Exchange, r Rejection) *Rejection {
	if w.active(time.Now()) {
		r.Status = http.StatusServiceUnavailable
		r.RetryAfter = w.retryAfter()
	}
	return x.Reject(r)
}

// RetryAfter is when to come back; draw is between 0 and 1.
func (w *Warmup) RetryAfter(now time.Time, draw float64) time.Duration {
	return jitteredRetryAfter(w.started.Add(warmupDuration).Sub(now), draw)
}

// await waits until ready is closed; false if the request may not wait that long.
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

// poll calls try until it returns zero, and waits the time that it returns before each
// further call; false if the request may not wait that long.
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

// beginWait counts a request that begins to wait; false if it may not. The context ends
// with the time for which it may.
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

// jitteredRetryAfter is a time of at least minReturn after which one of many refused callers
// comes back; draw is between 0 and 1.
func jitteredRetryAfter(wait time.Duration, draw float64) time.Duration {
	return max(minRetryAfter, wait) + time.Duration(draw*float64(retryJitter))
}

// busyRetryAfter is when callers that all targets are too busy for come back; draw is
// between 0 and 1.
func busyRetryAfter(draw float64) time.Duration { return jitteredRetryAfter(0, draw) }
