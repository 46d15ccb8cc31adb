package filter

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// TestPatience tells callers that came back from those that ask first, and learns
// anew when the callers of a route wait less than before.
func TestPatience(t *testing.T) {
	p := NewWaitLimits()
	start := time.Unix(1000, 0)
	waited := func(route string, after, patience time.Duration) time.Duration {
		return p.alreadyWaited(&Exchange{Route: &routing.Route{Name: route}, Received: start.Add(after), WaitLimit: patience})
	}
	for _, c := range []struct {
		what            string
		route           string
		after, patience time.Duration
		want            time.Duration
	}{
		{"the first", "a", 0, time.Second, 0},
		{"one that came back", "a", time.Second, 650 * time.Millisecond, 350 * time.Millisecond},
		{"one that asks first", "a", 2 * time.Second, time.Second, 0},
		{"another route", "b", 2 * time.Second, 400 * time.Millisecond, 0},
		{"no patience told", "a", 3 * time.Second, 0, 0},
		{"less patience, remembered", "a", 12 * time.Second, 600 * time.Millisecond, 400 * time.Millisecond},
		{"less patience, learnt", "a", 50 * time.Second, 600 * time.Millisecond, 0},
	} {
		if got := waited(c.route, c.after, c.patience); got != c.want {
			t.Errorf("%s: waited %v, want %v", c.what, got, c.want)
		}
	}
}
