package forward

import (
	"sync"
	"time"
)

// watchdog ends a wait that exceeds its time limit. It reuses one timer for all waits of a
// request.
type watchdog struct {
	// extend returns how much longer the wait may last; zero ends it. It is called without
	// the lock.
	extend func() time.Duration
	// end ends the wait. It is called with the lock, and only while the wait lasts.
	end func()

	mu    sync.Mutex
	timer *time.Timer
	// wait counts the waits; waiting is set during one. until is the time at which the current
	// one is examined.
	wait    int
	waiting bool
	until   time.Time
}

func newWatchdog(extend func() time.Duration, end func()) *watchdog {
	return &watchdog{extend: extend, end: end}
}

// start begins a wait of at most d. Zero means no limit.
func (w *watchdog) start(d time.Duration) {
	if d <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait++
	w.waiting = true
	w.until = time.Now().Add(d)
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.expire)
		return
	}
	w.timer.Reset(d)
}

// expire extends or ends the current wait. It may run late, when the wait of its timer is over
// and the next one has begun; the timer then fires once more.
func (w *watchdog) expire() {
	w.mu.Lock()
	wait, due := w.wait, w.waiting && !time.Now().Before(w.until)
	w.mu.Unlock()
	if !due {
		return
	}
	more := w.extend()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.waiting || w.wait != wait:
	case more > 0:
		w.until = time.Now().Add(more)
		w.timer.Reset(more)
	default:
		w.end()
	}
}

// stop ends the wait in time.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	if w.timer != nil {
		w.timer.Stop()
	}
}
