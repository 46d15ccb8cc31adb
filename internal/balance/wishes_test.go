package balance

import (
	"errors"
	"testing"
	"time"
)

// pickAll counts where requests go, with a prompt and without.
func pickAll(t *testing.T, b *Balancer) map[string]int {
	t.Helper()
	at := make(map[string]int)
	for i := range 100 {
		r := Request{Service: "llm"}
		if i%2 == 0 {
			r.Key = string(rune('a' + i))
		}
		c, err := b.Pick(r)
		if err != nil {
			t.Fatal(err)
		}
		at[c.Target.Id]++
		c.Done(Served)
	}
	return at
}

// TestPausedTargetGetsNothing has a target want no requests for two seconds: it gets
// none until then, also where it would be the last resort.
func TestPausedTargetGetsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	view := newView(2)
	b := New(view, nil)
	b.now = func() time.Time { return now }
	if !b.Pause(view.targets[0], 2*time.Second) || b.Pause(view.targets[0], time.Second) {
		t.Error("the longest pause counts, and is news once")
	}
	if n := pickAll(t, b)["e0"]; n > 0 {
		t.Errorf("%d of 100 requests went to a target that wants none", n)
	}
	b.Pause(view.targets[1], time.Second)
	for _, key := range []string{"", "k"} {
		var paused *PausedError
		if _, err := b.Pick(Request{Service: "llm", Key: key}); !errors.As(err, &paused) || paused.RetryAfter != time.Second {
			t.Errorf("key %q, all paused: %v, want a pause of 1s", key, err)
		}
	}
	now = now.Add(2 * time.Second)
	if n := pickAll(t, b)["e0"]; n == 0 {
		t.Error("the target gets no requests after its pause")
	}
}

// TestTargetThatSaysItLeaves has a target say in an answer that it leaves, before this
// router hears of it from others: it gets nothing more, its next start does.
func TestTargetThatSaysItLeaves(t *testing.T) {
	view := newView(2)
	b := New(view, nil)
	if !b.MarkLeaving(view.targets[0]) || b.MarkLeaving(view.targets[0]) {
		t.Error("that a target leaves is news once")
	}
	if n := pickAll(t, b)["e0"]; n > 0 {
		t.Errorf("%d of 100 requests went to a target that leaves", n)
	}
	if _, err := b.Pick(Request{Service: "llm", Exclude: []string{"e1"}}); !errors.Is(err, ErrNoTarget) {
		t.Errorf("with the other one excluded: %v, want %v", err, ErrNoTarget)
	}
	again := engine("e0")
	again.Incarnation = 1
	view.targets[0] = again
	if n := pickAll(t, b)["e0"]; n == 0 {
		t.Error("the target's next start gets no requests")
	}
}
