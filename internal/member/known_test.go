package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
)

// TestKnownSet holds a set to having all that was added, and few of the others.
func TestKnownSet(t *testing.T) {
	for _, c := range []struct{ entries, mostWrong int }{{64, 20}, {400, 20}, {1100, 90}, {3300, 450}} {
		set := newKnownSet(c.entries, 7)
		for i := range c.entries {
			set.add(uint32(hashOf("held", uint64(i))))
		}
		for i := range c.entries {
			if !set.has(uint32(hashOf("held", uint64(i)))) {
				t.Fatalf("of %d entries, %d is not known", c.entries, i)
			}
		}
		wrong := 0
		for i := range 1000 {
			if set.has(uint32(hashOf("missing", uint64(i)))) {
				wrong++
			}
		}
		if wrong > c.mostWrong {
			t.Errorf("%d entries: %d of 1,000 missing ones look known, want at most %d", c.entries, wrong, c.mostWrong)
		}
		if len(set.bits) > maxKnownBytes {
			t.Errorf("%d entries: a set of %d bytes", c.entries, len(set.bits))
		}
	}
}

// TestComparisonBringsWhatIsMissing has a router with 1,000 targets compare its view
// with one that knows 30 more: the answer brings these and few others.
func TestComparisonBringsWhatIsMissing(t *testing.T) {
	const targets, missing = 1030, 30
	w := newWorld(time.Hour, 1, 2, targets, 3)
	w.introduce()
	asker, asked := w.nodes[0].core, w.nodes[1].core
	for _, target := range w.targets[:missing] {
		asker.removeTarget(asker.targets[target.status.Id])
	}
	asked.syncDatagrams = 16
	sent := 0
	for range 3 {
		asker.askSync(w.now, asked.self.status.PeerAddr)
		for _, question := range asker.packets() {
			asked.receive(w.now, asker.self.status.PeerAddr, question.msg)
		}
		for _, answer := range asked.packets() {
			sent += len(answer.msg.Targets)
			asker.receive(w.now, asked.self.status.PeerAddr, answer.msg)
		}
		asker.news, asked.news = newQueue(), newQueue()
	}
	if len(asker.targets) != targets {
		t.Errorf("%d of %d targets are known after three comparisons", len(asker.targets), targets)
	}
	if sent > 2*missing {
		t.Errorf("%d targets were sent where %d are missing", sent, missing)
	}
}

// TestStartOfALargeFleet starts 100 routers at once with 1,000 targets that announce
// themselves to them: five seconds later no lease ends any more, of those that hold for
// six announcements, and the routers no longer pass on what all know.
func TestStartOfALargeFleet(t *testing.T) {
	const routers, targets = 100, 1000
	w := newLargeWorld(routers, targets)
	w.run(5 * time.Second)
	ages, lapsed := sampleLeases(w, 500*time.Millisecond)
	if lapsed > 0 {
		t.Errorf("%d of %d times a target had no lease at a router", lapsed, len(ages)+lapsed)
	}
	for _, n := range w.nodes {
		if news := len(n.core.news.items); news > targets/10 {
			t.Fatalf("%s still passes on %d pieces of news", n.status.Id, news)
		}
	}
}

// newLargeWorld has the settings of the platform's instances: targets announce
// themselves every 1.2 s, and are leased for six times that.
func newLargeWorld(routers, targets int) *world {
	w := newWorld(0, 1, 0, 0, 3)
	w.intervals = Intervals{Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond, TargetLease: 7200 * time.Millisecond}
	w.syncDatagrams = 16
	w.budget = budget.Config{BytesPerSecond: 64 << 10, BurstBytes: 128 << 10}
	w.announceEvery = 1200 * time.Millisecond
	w.populate(routers, targets, 3)
	return w
}
