package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig() Config {
	return Config{
		Factor: 1.25, Spread: 4, SlowStart: 10 * time.Minute, Reserve: DefaultReserve,
		QueueLength: 8, DirectorySize: 1000, AbsentTargetTTL: 2 * time.Minute,
	}
}

func engine(id string, capacity int) Target {
	return Target{ID: id, Incarnation: 1, Models: []string{"m"}, Capacity: capacity}
}

// Guards against an engine over its capacity after a change of the owner: a slot
// at an engine that is absent while the new owner takes over counts once the
// engine returns.
// In the test's name, places are slots and a silent target is an absent one.
func TestAdoptsPlacesAtSilentTarget(t *testing.T) {
	p := New(testConfig())
	p.SetTargets(start, []Target{engine("a", 4)})
	held := HeldSlot{ID: ID{Router: "r", Number: 1}, Target: "b", Customer: "c", Model: "m"}
	if !p.Adopt(start, held) {
		t.Fatal("a slot at an absent engine is not counted")
	}
	p.SetTargets(start.Add(time.Second), []Target{engine("a", 4), engine("b", 4)})
	if got := p.Granted("b"); got != 1 {
		t.Fatalf("%d slots are counted at the engine that returned, want 1", got)
	}
	p.Release(start.Add(time.Second), held.ID)
	if got := p.Granted("b"); got != 0 {
		t.Fatalf("%d slots are counted after the release", got)
	}
}

func request(n uint64, customer string) Request {
	return Request{
		ID: ID{Router: "r", Number: n}, Customer: customer, Weight: 1, Model: "m",
		Cost: 100, MaxWait: time.Minute,
	}
}

// Guards against one customer's surge that takes all slots: the reserved slots
// stay free for another customer, and only requests of the surging customer are
// shed.
func TestSurgeLeavesRoomAndIsShed(t *testing.T) {
	p := New(testConfig())
	p.SetTargets(start, []Target{engine("a", 10), engine("b", 10)})
	p.Submit(start, request(1, "quiet"))
	shed := 0
	for n := range uint64(40) {
		for _, r := range p.Submit(start, request(100+n, "surge")) {
			if r.Kind == Refused {
				shed++
				if r.ID.Number < 100 {
					t.Fatalf("%v was shed", r.ID)
				}
			}
		}
	}
	if shed == 0 {
		t.Fatal("nothing was shed of 40 requests on 20 slots and a queue of 8")
	}
	// 20% of the 20 slots, which are four, are reserved for customers within
	// their share. The quiet customer holds one slot already.
	for n := range uint64(3) {
		if r := p.Submit(start, request(2+n, "quiet"))[0]; r.Kind != Granted {
			t.Fatalf("request %d of the quiet customer: %+v", n, r)
		}
	}
}

// Reconciliation adopts listed slots that the pool does not count, and releases
// slots that are not listed.
// In the test's name, confirm is Reconcile; it repairs by adoption and release.
func TestConfirmRepairsBothWays(t *testing.T) {
	p := New(testConfig())
	p.SetTargets(start, []Target{engine("a", 10)})
	for n := range uint64(3) {
		p.Submit(start, request(n, "c"))
	}
	// The router's list lacks slot 0. Slot 1 is listed without a target, since
	// the reply to the request is pending. Slots 2 and 7 are listed with a target;
	// the pool does not know slot 7. Request 9 began after the list was made.
	p.Submit(start, request(9, "c"))
	p.Reconcile(start, "r", 0, 8, []HeldSlot{
		{ID: ID{Router: "r", Number: 1}},
		{ID: ID{Router: "r", Number: 2}, Target: "a", Customer: "c", Model: "m"},
		{ID: ID{Router: "r", Number: 7}, Target: "a", Customer: "c", Model: "m"},
	})
	for n, want := range map[uint64]bool{0: false, 1: true, 2: true, 7: true, 9: true} {
		if _, got := p.grants[ID{Router: "r", Number: n}]; got != want {
			t.Errorf("slot %d counted: %v", n, got)
		}
	}
}

// BenchmarkDecision measures the admission and release of one request at the
// owner router.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{15, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := testConfig()
			cfg.QueueLength = 1024
			p := New(cfg)
			var targets []Target
			for i := range n {
				targets = append(targets, engine(fmt.Sprint("engine-", i), 16))
			}
			p.SetTargets(start, targets)
			for i := range n * 8 {
				p.Submit(start, request(uint64(i), fmt.Sprint("c", i%10)))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r := request(uint64(n*8+i), fmt.Sprint("c", i%10))
				r.Chat = placement.Key(i%5000)*2 + 1
				p.Submit(start, r)
				p.Release(start, r.ID)
			}
		})
	}
}

// Requests that a second owner admitted count against the load bound once
// excessReports consecutive reports show them. These requests do not raise the
// mean.
func TestLastingExcess(t *testing.T) {
	e := &Excess{}
	for i := range excessReports {
		if e.Sustained() != 0 {
			t.Fatalf("an excess counts after only %d reports", i)
		}
		e.Add(Report{Incarnation: 1, Sequence: uint64(i), InFlight: 5 + i}, 2)
		e.Add(Report{Incarnation: 1, Sequence: uint64(i), InFlight: 0}, 2)
	}
	if got := e.Sustained(); got != 3 {
		t.Fatalf("the sustained excess is %d, want 3", got)
	}
	p := New(testConfig())
	busy, idle := engine("a", 10), engine("b", 10)
	busy.Excess = e.Sustained()
	p.SetTargets(start, []Target{busy, idle})
	for n := range uint64(2) {
		if r := p.Submit(start, request(n, "c"))[0]; r.Target != "b" {
			t.Fatalf("request %d: %+v", n, r)
		}
	}
	e.Add(Report{Incarnation: 2, Sequence: 0, InFlight: 9}, 0)
	if e.Sustained() != 0 {
		t.Fatal("a restarted target still has an excess")
	}
}

// A chat returns to the engine that has its prefix cached, even if other engines
// are less loaded.
func TestChatReturnsToItsHolder(t *testing.T) {
	p := New(testConfig())
	p.SetTargets(start, []Target{engine("a", 16), engine("b", 16), engine("c", 16), engine("d", 16)})
	// Start with enough requests in flight that one more at any engine stays
	// within the load bound.
	for n := range uint64(24) {
		p.Submit(start, request(1000+n, fmt.Sprint("base-", n)))
	}
	for n := range uint64(200) {
		chat := placement.Key(2*n + 1)
		first := request(3*n, "c")
		first.Chat = chat
		took := p.Submit(start, first)[0]
		// The first request still runs at the chat's engine, so that each other
		// engine is less loaded.
		again := request(3*n+1, "c")
		again.Chat = chat
		returned := p.Submit(start, again)[0]
		if returned.Target != took.Target || returned.Reason != placement.ReasonCached {
			t.Fatalf("chat %d: first at %s, then at %s (%v)", n, took.Target, returned.Target, returned.Reason)
		}
		p.Release(start, first.ID)
		p.Release(start, again.ID)
	}
}
