package budget

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

// maxWindowSeconds is the length of the longest window that check covers.
const maxWindowSeconds = 16

// window sums the bytes sent in each of the last maxWindowSeconds seconds. It is
// independent of the limiter, so that check detects faults of the limiter.
type window struct {
	// origin is the time of the first call of index.
	origin time.Time
	// bytes is a ring of sums, one for each second. The entry seconds[i] is the
	// second, counted from origin, that bytes[i] belongs to.
	seconds [maxWindowSeconds]int64
	bytes   [maxWindowSeconds]int
}

// index returns the number of whole seconds from origin to now. The first call
// sets origin.
func (w *window) index(now time.Time) int64 {
	if w.origin.IsZero() {
		w.origin = now
	}
	return int64(now.Sub(w.origin) / time.Second)
}

// add counts n bytes sent at the time now.
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

// check asserts that no window of up to maxWindowSeconds that ends now contains
// more bytes than the rate allows over its length, plus one burst. The invariant
// holds whenever bytes have just been allowed, even if bytes that had already been
// sent were charged before.
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
