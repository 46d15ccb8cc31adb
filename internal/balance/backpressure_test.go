package balance

import (
	"errors"
	"testing"
	"time"
)

// pickAll selects targets for requests with and without a prompt and counts them by
// target.
func pickAll(t *testing.T, b *Balancer) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for i := range 100 {
		r := Request{Service: "llm"}
		if i%2 == 0 {
			r.Key = string(rune('a' + i))
		}
		c, err := b.Pick(r)
		if err != nil {
			t.Fatal(err)
		}
		counts[c.Target.Id]++
		c.Done(Served)
	}
	return counts
}

// TestPausedTargetGetsNothing checks that a target that requested a pause of two seconds
// receives no requests during the pause, even if no other target is eligible.
func TestPausedTargetGetsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	view := newView(2)
	b := New(view, nil)
	b.now = func() time.Time { return now }
	if !b.Pause(view.targets[0], 2*time.Second) || b.Pause(view.targets[0], time.Second) {
		t.Error("Pause must report true for the longest pause only")
	}
	if n := pickAll(t, b)["e0"]; n > 0 {
		t.Errorf("%d of 100 requests went to a paused target", n)
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
		t.Error("the target receives no requests after its pause")
	}
}

// TestTargetThatSaysItLeaves checks that a target receives no more requests once a
// response has stated that the target is leaving, although the view does not show it
// yet, and that the target's next incarnation receives requests.
func TestTargetThatSaysItLeaves(t *testing.T) {
	view := newView(2)
	b := New(view, nil)
	if !b.MarkLeaving(view.targets[0]) || b.MarkLeaving(view.targets[0]) {
		t.Error("MarkLeaving must report true for the first call only")
	}
	if n := pickAll(t, b)["e0"]; n > 0 {
		t.Errorf("%d of 100 requests went to a leaving target", n)
	}
	if _, err := b.Pick(Request{Service: "llm", Exclude: []string{"e1"}}); !errors.Is(err, ErrNoTarget) {
		t.Errorf("with the other target excluded: %v, want %v", err, ErrNoTarget)
	}
	restarted := engine("e0")
	restarted.Incarnation = 1
	view.targets[0] = restarted
	if n := pickAll(t, b)["e0"]; n == 0 {
		t.Error("the target's next incarnation receives no requests")
	}
}
