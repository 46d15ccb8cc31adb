package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
)

// TestKnownSet checks that the filter contains all added entries and that its false
// positive rate is bounded.
func TestKnownSet(t *testing.T) {
	for _, c := range []struct{ entries, maxFalsePositives int }{{64, 20}, {400, 20}, {1100, 90}, {3300, 450}} {
		filter := newBloomFilter(c.entries, 7)
		for i := range c.entries {
			filter.add(uint32(hashOf("held", uint64(i))))
		}
		for i := range c.entries {
			if !filter.mayContain(uint32(hashOf("held", uint64(i)))) {
				t.Fatalf("of %d entries, the filter lacks %d", c.entries, i)
			}
		}
		falsePositives := 0
		for i := range 1000 {
			if filter.mayContain(uint32(hashOf("missing", uint64(i)))) {
				falsePositives++
			}
		}
		if falsePositives > c.maxFalsePositives {
			t.Errorf("%d entries: %d false positives of 1,000, want at most %d", c.entries, falsePositives, c.maxFalsePositives)
		}
		if len(filter.bits) > maxBloomBytes {
			t.Errorf("%d entries: a filter of %d bytes", c.entries, len(filter.bits))
		}
	}
}

// TestComparisonBringsWhatIsMissing syncs a router that knows 1,000 targets with one
// that knows 30 more. Three syncs must transfer all missing targets and at most as many
// others.
func TestComparisonBringsWhatIsMissing(t *testing.T) {
	const targets, missing = 1030, 30
	w := newSimulation(time.Hour, 1, 2, targets, 3)
	w.shareViews()
	requester, responder := w.nodes[0].core, w.nodes[1].core
	for _, target := range w.targets[:missing] {
		requester.removeTarget(requester.targets[target.status.Id])
	}
	responder.syncDatagrams = 16
	sent := 0
	for range 3 {
		requester.requestSync(w.now, responder.self.status.PeerAddr)
		for _, request := range requester.drainPackets() {
			responder.receive(w.now, requester.self.status.PeerAddr, request.msg)
		}
		for _, reply := range responder.drainPackets() {
			sent += len(reply.msg.Targets)
			requester.receive(w.now, responder.self.status.PeerAddr, reply.msg)
		}
		requester.updates, responder.updates = newUpdateQueue(), newUpdateQueue()
	}
	if len(requester.targets) != targets {
		t.Errorf("%d of %d targets are known after three syncs", len(requester.targets), targets)
	}
	if sent > 2*missing {
		t.Errorf("%d targets were sent where %d are missing", sent, missing)
	}
}

// TestStartOfALargeFleet starts 100 routers at once, to which 1,000 targets announce
// themselves. Five seconds later no lease may expire any more (a lease lasts for six
// announcements), and the routers must have stopped sending updates that all routers
// know: each may have at most a tenth as many updates queued as there are targets.
func TestStartOfALargeFleet(t *testing.T) {
	const routers, targets = 100, 1000
	w := newLargeSimulation(routers, targets)
	w.run(5 * time.Second)
	ages, unleased := sampleLeases(w, 500*time.Millisecond)
	if unleased > 0 {
		t.Errorf("%d of %d times a target had no lease at a router", unleased, len(ages)+unleased)
	}
	for _, n := range w.nodes {
		if queued := len(n.core.updates.items); queued > targets/10 {
			t.Fatalf("%s still has %d updates to send", n.status.Id, queued)
		}
	}
}

// newLargeSimulation uses the settings of the platform's instances: targets announce
// themselves every 1.2 s, and a lease lasts six times as long.
func newLargeSimulation(routers, targets int) *simulation {
	w := newSimulation(0, 1, 0, 0, 3)
	w.intervals = Intervals{Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond, TargetLease: 7200 * time.Millisecond}
	w.syncDatagrams = 16
	w.budget = budget.Config{BytesPerSecond: 64 << 10, BurstBytes: 128 << 10}
	w.announceEvery = 1200 * time.Millisecond
	w.populate(routers, targets, 3)
	return w
}
