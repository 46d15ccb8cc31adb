package bodybuffer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSeededLoad lets owners with stalled, trickled and ordinary bodies grow at random. It guards
// against sums over the limits, memory that is not returned, and ordinary bodies that are closed
// while larger ones stall.
func TestSeededLoad(t *testing.T) {
	const limit, peak, steps = 1 << 20, 2 << 20, 20000
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, seed))
		a := newAccounts(Limits{Bytes: 8 << 20, Unfinished: 200})
		now := time.Unix(0, 0)
		var all []*entry
		closedBy := func(victims ...*entry) {
			for _, v := range victims {
				if v != nil && v.charged < largeBytes && v.reason == ReasonMemory {
					for e := range a.unfinished {
						if e.charged >= largeBytes {
							t.Fatalf("seed %d: a body of %d bytes was closed beside one of %d", seed, v.charged, e.charged)
						}
					}
				}
			}
		}
		for range steps {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			switch i := rng.IntN(10); {
			case len(all) == 0 || i == 0:
				e, victim := a.begin(string(rune('a'+rng.IntN(3))), now)
				closedBy(victim)
				if e != nil {
					all = append(all, e)
				}
			case i == 1:
				k := rng.IntN(len(all))
				a.finish(all[k])
				a.end(all[k])
				all = append(all[:k], all[k+1:]...)
			case i == 2:
				a.finish(all[rng.IntN(len(all))])
			default:
				e := all[rng.IntN(len(all))]
				if _, open := a.unfinished[e]; !open || e.charged >= limit {
					break
				}
				n := rng.Int64N(limit / 4)
				out, victims, _ := a.grow(e, n, peak, now)
				closedBy(victims...)
				if out == granted {
					e.received += n
				}
			}
			if a.total.charged > a.limits.Bytes || len(a.unfinished) > a.limits.Unfinished {
				t.Fatalf("seed %d: %d bytes in %d bodies, over the limits", seed, a.total.charged, len(a.unfinished))
			}
			for name, owner := range a.owners {
				if owner.charged > a.limits.ownerBytes() {
					t.Fatalf("seed %d: %s holds %d bytes, over its share", seed, name, owner.charged)
				}
			}
		}
		for _, e := range all {
			a.finish(e)
			a.end(e)
		}
		if a.total != (sums{}) || len(a.owners) > 0 || len(a.unfinished) > 0 {
			t.Errorf("seed %d: %+v, %d owners, %d bodies are left", seed, a.total, len(a.owners), len(a.unfinished))
		}
	}
}

// TestSlowestIsClosed checks which body is closed when the budget is exhausted: the large one
// with the fewest bytes for its age. It guards against clients that keep memory by stalling.
func TestSlowestIsClosed(t *testing.T) {
	const mb = 1 << 20
	a := newAccounts(Limits{Bytes: 8 * mb, Unfinished: 100})
	start := time.Unix(0, 0)
	add := func(owner string, age time.Duration, charged int64) *entry {
		e, _ := a.begin(owner, start.Add(-age))
		if out, _, _ := a.grow(e, charged, 4*mb, start); out != granted {
			t.Fatalf("%d bytes: outcome %d", charged, out)
		}
		e.received = charged
		return e
	}
	small := add("a", time.Minute, 100)
	stalled := add("a", 10*time.Second, 2*mb)
	quick := add("b", time.Second, 4*mb)
	fresh, _ := a.begin("c", start)
	out, victims, reason := a.grow(fresh, 3*mb, 4*mb, start)
	if out != pending || len(victims) != 1 || victims[0] != stalled || stalled.reason != ReasonMemory {
		t.Errorf("outcome %d, %d victims, %q; want the stalled body to be closed", out, len(victims), reason)
	}
	a.end(stalled)
	if out, victims, _ = a.grow(fresh, 3*mb, 4*mb, start); out != granted || len(victims) != 0 {
		t.Errorf("outcome %d after the stalled body has ended, want granted", out)
	}
	if small.reason != "" || quick.reason != "" {
		t.Error("another body was closed too")
	}
}

// TestOwnerShare checks that an owner over its share loses its own body and not that of another
// owner, and that finished bodies are not closed.
func TestOwnerShare(t *testing.T) {
	const mb = 1 << 20
	a := newAccounts(Limits{Bytes: 6 * mb, Unfinished: 100})
	start := time.Unix(0, 0)
	other, _ := a.begin("b", start.Add(-time.Minute))
	a.grow(other, mb, 2*mb, start)
	first, _ := a.begin("a", start.Add(-time.Second))
	a.grow(first, 4*mb, 2*mb, start)
	second, _ := a.begin("a", start)
	if out, victims, _ := a.grow(second, mb, 2*mb, start); out != pending || len(victims) != 1 || victims[0] != first || first.reason != ReasonOwner {
		t.Errorf("outcome %d, %d victims, want the first body of the owner to be closed", out, len(victims))
	}
	a.end(first)
	a.grow(second, 4*mb, 2*mb, start)
	a.finish(second)
	third, _ := a.begin("a", start)
	if out, victims, reason := a.grow(third, mb, 2*mb, start); out != refused || len(victims) != 0 || reason != ReasonOwner {
		t.Errorf("outcome %d, %d victims, %q; want refused, the other body is finished", out, len(victims), reason)
	}
	if other.reason != "" || second.reason != "" {
		t.Error("a body was closed that must not be")
	}
}
