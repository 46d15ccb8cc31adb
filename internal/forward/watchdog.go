package forward

import (
	"sync"
	"time"
)

// watchdog calls fire if a wait exceeds its time limit. It reuses one timer for all
// waits of a request.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	fire  func()
}

func newWatchdog(fire func()) *watchdog {
	return &watchdog{fire: fire}
}

// start begins a wait of at most d. Zero means no limit.
func (w *watchdog) start(d time.Duration) {
	if d <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.fire)
		return
	}
	w.timer.Reset(d)
}

// stop ends the wait.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
