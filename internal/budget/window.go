package budget

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

// maxWindowSeconds is the longest window that the invariant covers.
const maxWindowSeconds = 16

// window sums the bytes spent in each of the last seconds. It is kept apart
// from the limiter so that it can catch the limiter's faults.
type window struct {
	origin  time.Time
	seconds [maxWindowSeconds]int64
	bytes   [maxWindowSeconds]int
}

func (w *window) index(now time.Time) int64 {
	if w.origin.IsZero() {
		w.origin = now
	}
	return int64(now.Sub(w.origin) / time.Second)
}

func (w *window) add(now time.Time, n int) {
	at := w.index(now)
	slot := at % maxWindowSeconds
	if slot < 0 {
		return
	}
	if w.seconds[slot] != at {
		w.seconds[slot], w.bytes[slot] = at, 0
	}
	w.bytes[slot] += n
}

// check asserts that no window that ends now holds more than the rate gives
// over its length, plus one burst. It holds whenever bytes are allowed, also
// after bytes were charged late.
func (w *window) check(now time.Time, rate, burst int) {
	at := w.index(now)
	spent := 0
	for back := range int64(maxWindowSeconds) {
		start := at - back
		if start < 0 {
			return
		}
		slot := start % maxWindowSeconds
		if w.seconds[slot] == start {
			spent += w.bytes[slot]
		}
		length := now.Sub(w.origin).Seconds() - float64(start)
		// The limiter rounds to whole nanoseconds and bytes.
		bound := float64(rate)*length + float64(burst) + 1
		invariant.Check(float64(spent) <= bound, "control budget", "spent", spent, "seconds", length, "bound", bound)
	}
}
