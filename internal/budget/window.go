package budget

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

// windowSeconds is the longest window that the invariant covers.
const windowSeconds = 16

// window sums the bytes spent in each of the last seconds. It is kept apart
// from the limiter so that it can catch the limiter's faults.
type window struct {
	origin time.Time
	second [windowSeconds]int64
	sums   [windowSeconds]int
}

func (w *window) index(now time.Time) int64 {
	if w.origin.IsZero() {
		w.origin = now
	}
	return int64(now.Sub(w.origin) / time.Second)
}

func (w *window) add(now time.Time, n int) {
	at := w.index(now)
	slot := at % windowSeconds
	if slot < 0 {
		return
	}
	if w.second[slot] != at {
		w.second[slot], w.sums[slot] = at, 0
	}
	w.sums[slot] += n
}

// check asserts that no window that ends now holds more than the rate gives
// over its length, plus one burst. It holds whenever bytes are allowed, also
// after bytes were charged late.
func (w *window) check(now time.Time, rate, burst int) {
	at := w.index(now)
	spent := 0
	for back := range int64(windowSeconds) {
		start := at - back
		if start < 0 {
			return
		}
		slot := start % windowSeconds
		if w.second[slot] == start {
			spent += w.sums[slot]
		}
		length := now.Sub(w.origin).Seconds() - float64(start)
		// The limiter rounds to whole nanoseconds and bytes.
		bound := float64(rate)*length + float64(burst) + 1
		invariant.Check(float64(spent) <= bound, "control budget", "spent", spent, "seconds", length, "bound", bound)
	}
}
