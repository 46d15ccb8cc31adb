package filter

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// TestPatience checks that WaitLimits distinguishes callers that retry from new ones,
// and that it learns the shorter time limit after all callers of a route name one.
func TestPatience(t *testing.T) {
	limits := NewWaitLimits()
	start := time.Unix(1000, 0)
	waited := func(route string, after, limit time.Duration) time.Duration {
		return limits.alreadyWaited(&Exchange{Route: &routing.Route{Name: route}, Received: start.Add(after), WaitLimit: limit})
	}
	for _, c := range []struct {
		what         string
		route        string
		after, limit time.Duration
		want         time.Duration
	}{
		{"the first", "a", 0, time.Second, 0},
		{"one that came back", "a", time.Second, 650 * time.Millisecond, 350 * time.Millisecond},
		{"one that asks first", "a", 2 * time.Second, time.Second, 0},
		{"another route", "b", 2 * time.Second, 400 * time.Millisecond, 0},
		{"no time limit named", "a", 3 * time.Second, 0, 0},
		{"shorter limit, longer one still kept", "a", 12 * time.Second, 600 * time.Millisecond, 400 * time.Millisecond},
		{"shorter limit, learned", "a", 50 * time.Second, 600 * time.Millisecond, 0},
	} {
		if got := waited(c.route, c.after, c.limit); got != c.want {
			t.Errorf("%s: waited %v, want %v", c.what, got, c.want)
		}
	}
}
