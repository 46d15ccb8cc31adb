package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/target"
)

// orderFaults are the faults that occur while the old leader's order to stop is in
// transit. Disk faults are not among them, since sending an order writes nothing. A
// fault of the target itself is equivalent to a lost order or a lost reply.
var orderFaults = map[string]func(w *testEnv, ctx context.Context, order target.Order) error{
	"kill before the send": func(w *testEnv, ctx context.Context, _ target.Order) error {
		w.old.leader.loseQuorum()
		<-ctx.Done()
		return ctx.Err()
	},
	"kill after the send": func(w *testEnv, ctx context.Context, order target.Order) error {
		w.old.leader.loseQuorum()
		_ = w.target.apply(order)
		<-ctx.Done()
		return ctx.Err()
	},
	"freeze and thaw": func(w *testEnv, ctx context.Context, order target.Order) error {
		w.old.leader.loseQuorum()
		time.AfterFunc(8*time.Second, func() { _ = w.target.apply(order) })
		<-ctx.Done()
		return ctx.Err()
	},
	"two-way cut": func(_ *testEnv, ctx context.Context, _ target.Order) error {
		<-ctx.Done()
		return ctx.Err()
	},
	"one-way cut, answers": func(w *testEnv, ctx context.Context, order target.Order) error {
		_ = w.target.apply(order)
		<-ctx.Done()
		return ctx.Err()
	},
	"message late": func(w *testEnv, _ context.Context, order target.Order) error {
		time.Sleep(400 * time.Millisecond)
		return w.target.apply(order)
	},
	"message doubled": func(w *testEnv, _ context.Context, order target.Order) error {
		time.AfterFunc(7*time.Second, func() { _ = w.target.apply(order) })
		return w.target.apply(order)
	},
	"messages reordered": func(w *testEnv, _ context.Context, order target.Order) error {
		time.AfterFunc(500*time.Millisecond, func() { _ = w.target.apply(order) })
		return context.DeadlineExceeded
	},
}

// TestOrderFaultMatrix injects each fault into an order of the old leader; then a new
// leader commits another intent. It guards against an old order that overrides the new
// one: one resync interval later the target follows the new intent, and a target that
// checks fencing numbers never leaves it again.
func TestOrderFaultMatrix(t *testing.T) {
	for name, fault := range orderFaults {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/target checks %v", name, checks), func(t *testing.T) {
				runTestEnv(t, checks, func(t *testing.T, w *testEnv) { runOrderFault(t, w, fault) })
			})
		}
	}
}

func runOrderFault(t *testing.T, w *testEnv, fault func(*testEnv, context.Context, target.Order) error) {
	w.old.leader.lead(1)
	time.Sleep(2 * DefaultTakeoverWait)
	injected := make(chan struct{})
	w.target.injectFault(func(ctx context.Context, order target.Order) error {
		close(injected)
		return fault(w, ctx, order)
	})
	w.old.intents.set(1, stopping, replica.Position{Term: 1, Index: 5})
	<-injected
	time.Sleep(time.Second)
	w.old.leader.loseQuorum()
	w.next.leader.lead(2)
	w.next.intents.set(2, draining, replica.Position{Term: 2, Index: 6})
	time.Sleep(DefaultTakeoverWait + 2*time.Second)
	if got := w.target.desired(); got != "drain" {
		t.Fatalf("after the new leader's order the target's state is %q, want drain", got)
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if got := w.target.desired(); w.target.checksFencing && got != "drain" {
			t.Fatalf("a target that checks fencing numbers returned to state %q", got)
		}
	}
	time.Sleep(resyncInterval)
	if got := w.target.desired(); got != "drain" {
		t.Fatalf("one resync interval later the target's state is %q, want drain", got)
	}
}
