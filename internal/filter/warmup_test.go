package filter

import (
	"testing"
	"time"
)

// TestReturnAfterARestart replays a restart: the router serves from 1.3 s on. A
// caller that is refused at any time before comes back once it does, and callers
// don't come back together.
func TestReturnAfterARestart(t *testing.T) {
	started := time.Unix(1000, 0)
	w := Warmup{Started: started}
	returns := make(map[time.Duration]int)
	for at := time.Duration(0); at < warmupTime; at += 10 * time.Millisecond {
		now := started.Add(at)
		draw := float64(at%(130*time.Millisecond)) / float64(130*time.Millisecond)
		back := at + w.RetryAfter(now, draw)
		if back < warmupTime {
			t.Errorf("refused at %v, back at %v", at, back)
		}
		returns[back.Truncate(100*time.Millisecond)]++
	}
	for at, n := range returns {
		if n > 130/2 {
			t.Errorf("%d of 130 callers come back within 100 ms of %v", n, at)
		}
	}
	if late := w.RetryAfter(started.Add(time.Hour), 0); late != minReturn {
		t.Errorf("long after the start: %v, want %v", late, minReturn)
	}
}
