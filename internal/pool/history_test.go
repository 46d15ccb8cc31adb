package pool

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// TestMain sets a fixed seed for the property tests unless a seed is given.
func TestMain(m *testing.M) {
	testseed.Fix(1, 0)
	os.Exit(m.Run())
}

// history makes a random sequence of calls of a pool. It keeps the slots and the
// waiting requests that the callers must have according to the pool's results.
type history struct {
	t          *rapid.T
	p          *Pool
	now        time.Time
	lastNumber uint64
	held       map[ID]string
	waiting    map[ID]time.Time
	targets    []Target
}

func (h *history) record(results []Result) {
	for _, r := range results {
		if _, ok := h.held[r.ID]; ok {
			h.t.Fatalf("second result for %v, which already holds a slot", r.ID)
		}
		switch r.Kind {
		case Queued:
			continue
		case Granted:
			h.held[r.ID] = r.Target
		case Refused:
			if r.RetryAfter < minRetryAfter || r.RetryAfter > maxRetryAfter {
				h.t.Fatalf("retry after %v", r.RetryAfter)
			}
		}
		delete(h.waiting, r.ID)
	}
}

func (h *history) submit() {
	h.lastNumber++
	r := Request{
		ID:       ID{Router: rapid.SampledFrom([]string{"r1", "r2"}).Draw(h.t, "router"), Number: h.lastNumber},
		Customer: fmt.Sprint("c", rapid.IntRange(0, 3).Draw(h.t, "customer")),
		Weight:   uint32(rapid.IntRange(0, 3).Draw(h.t, "weight")),
		Class:    rapid.IntRange(0, 2).Draw(h.t, "class"),
		Cost:     float64(rapid.IntRange(0, 500).Draw(h.t, "cost")),
		Chat:     placement.ChatKey(fmt.Sprint(rapid.IntRange(0, 9).Draw(h.t, "chat"))),
		Model:    "m",
		MaxWait:  time.Duration(rapid.IntRange(0, 20).Draw(h.t, "wait")) * time.Second,
	}
	if rapid.IntRange(0, 5).Draw(h.t, "retry") == 0 {
		r.Exclude = []string{"a"}
	}
	h.waiting[r.ID] = h.now.Add(r.MaxWait)
	h.record(h.p.Submit(h.now, r))
}

func (h *history) release() {
	for id := range h.held {
		delete(h.held, id)
		h.record(h.p.Release(h.now, id))
		return
	}
}

// changeTargets adds, removes, restarts and closes targets at random.
func (h *history) changeTargets() {
	h.targets = h.targets[:0]
	for _, id := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(h.t, "present") {
			t := engine(id, rapid.IntRange(1, 4).Draw(h.t, "capacity"))
			t.Incarnation = uint64(rapid.IntRange(1, 2).Draw(h.t, "incarnation"))
			t.Closed = rapid.IntRange(0, 4).Draw(h.t, "closed") == 0
			t.External = rapid.IntRange(0, 1).Draw(h.t, "external")
			h.targets = append(h.targets, t)
		}
	}
	h.p.SetTargets(h.now, h.targets)
	h.tick()
}

func (h *history) tick() {
	h.record(h.p.Tick(h.now))
	for id, until := range h.waiting {
		if !until.After(h.now) {
			h.t.Fatalf("%v still waits after its wait limit", id)
		}
	}
	h.checkWorkConserving()
}

// checkWorkConserving fails if a request waits although its customer is within
// its share and a target has a free slot for it.
func (h *history) checkWorkConserving() {
	for _, w := range h.p.waitersByItem {
		if w.lane.aboveShare(h.now, w.req.Customer) || w.req.Customer == "" {
			continue
		}
		engines := h.p.candidates(w.lane, w.req.Exclude, 0)
		if choice := h.p.chooser.Choose(h.now, w.req.Chat, engines); choice.Index >= 0 {
			h.t.Fatalf("%v waits although %s has a free slot", w.req.ID, engines[choice.Index].ID)
		}
	}
}

// takeOver replaces the pool by a new pool that adopts all held slots, as a new
// owner does.
func (h *history) takeOver() {
	h.p = New(testConfig())
	h.p.SetTargets(h.now, h.targets)
	clear(h.waiting)
	for id, target := range h.held {
		h.p.Adopt(h.now, HeldSlot{ID: id, Target: target, Customer: "c0", Weight: 1, Model: "m"})
	}
}

func (h *history) checkCounts() {
	counts := make(map[string]int)
	for _, target := range h.held {
		counts[target]++
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		if got := h.p.Granted(id); got != counts[id] {
			h.t.Fatalf("the pool counts %d slots at %s, the callers hold %d", got, id, counts[id])
		}
	}
	if len(h.p.waitersByItem) != len(h.waiting) {
		h.t.Fatalf("%d requests wait in the pool, the callers wait for %d", len(h.p.waitersByItem), len(h.waiting))
	}
}

// TestRandomHistories makes random sequences of calls and checks after each call
// that the pool counts the slots and waiting requests that its callers have. The
// pool checks the load bound and the capacities itself (checkAssignment).
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, p: New(testConfig()), now: start, held: make(map[ID]string), waiting: make(map[ID]time.Time)}
		h.changeTargets()
		for range 120 {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				h.changeTargets()
			case 1:
				h.now = h.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
				h.tick()
			case 2:
				if rapid.IntRange(0, 3).Draw(t, "take over") == 0 {
					h.takeOver()
				}
			case 3, 4, 5:
				h.release()
			default:
				h.submit()
			}
			h.checkCounts()
		}
	})
}
