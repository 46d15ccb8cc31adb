package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// announceAt lets a target announce itself at one node.
func announceAt(t *testing.T, w *simulation, n *node, sequence uint64, cold time.Duration) {
	t.Helper()
	st := &pb.TargetStatus{Id: "returned", Incarnation: 7, Sequence: sequence, Addr: "10.0.0.9:80", Service: "s", ColdMs: uint32(cold.Milliseconds())}
	if err := n.core.announce(w.now, st, w.now); err != nil {
		t.Fatal(err)
	}
}

// coldAt counts the nodes that know the target, and those of them at which it is cold.
func coldAt(w *simulation, id string) (known, cold int) {
	for _, n := range w.nodes {
		if e := n.core.targets[id]; e != nil {
			known++
			if e.status.ColdMs > 0 {
				cold++
			}
		}
	}
	return known, cold
}

// TestColdTargetIsKnownEverywhere guards against routers that know a target and not that it is
// cold, against an update for each announcement of a cold target, and against a target that stays
// cold, or becomes cold again at a router that starts.
func TestColdTargetIsKnownEverywhere(t *testing.T) {
	w := newSimulation(time.Hour, 5, 70, 0, 3)
	w.run(3 * time.Second)
	deltas := 0
	w.onTransmit = func(_ *node, p packet) {
		for _, d := range p.msg.Targets {
			if d.Status.Id == "returned" {
				deltas++
			}
		}
	}
	w.onStep = func(*node) {
		if known, cold := coldAt(w, "returned"); known != cold {
			t.Fatalf("%d routers know the target, which is cold at %d", known, cold)
		}
	}
	left := 5 * time.Second
	announceAt(t, w, w.nodes[0], 1, left)
	w.run(2 * time.Second)
	if known, _ := coldAt(w, "returned"); known != len(w.nodes) {
		t.Errorf("%d of %d routers know the target", known, len(w.nodes))
	}
	deltas = 0
	// The announcements were under way for up to 100 ms.
	announceAt(t, w, w.nodes[0], 2, left-1900*time.Millisecond)
	announceAt(t, w, w.nodes[1], 3, left-2000*time.Millisecond)
	w.run(time.Second)
	if deltas > len(w.nodes) {
		t.Errorf("%d updates after announcements that say nothing new", deltas)
	}
	w.onStep = nil
	w.start(w.nodes[69])
	w.run(left - 3*time.Second + coldTolerance)
	if _, cold := coldAt(w, "returned"); cold > 0 {
		t.Errorf("the target is cold at %d routers after its time has passed", cold)
	}
	announceAt(t, w, w.nodes[2], 4, 0)
	w.start(w.nodes[68])
	w.run(2 * time.Second)
	if known, cold := coldAt(w, "returned"); cold > 0 || known != len(w.nodes) {
		t.Errorf("%d of %d routers know the target, which is cold at %d", known, len(w.nodes), cold)
	}
	announceAt(t, w, w.nodes[3], 5, 20*time.Second)
	w.run(3 * time.Second)
	if _, cold := coldAt(w, "returned"); cold != len(w.nodes) {
		t.Errorf("%d of %d routers know that the target is cold again", cold, len(w.nodes))
	}
	announceAt(t, w, w.nodes[4], 6, 0)
	w.run(3 * time.Second)
	if _, cold := coldAt(w, "returned"); cold > 0 {
		t.Errorf("the target is cold at %d routers after it said that it is not", cold)
	}
}
