package slots

import (
	"testing"
	"time"
)

// TestUrgentIsServedNoLess sends more than the targets run, half of it urgent with a short
// objective and half less urgent with a long one. It guards against a queue that the less
// urgent half fills up to its own objective, so that every urgent request is rejected.
func TestUrgentIsServedNoLess(t *testing.T) {
	a := New()
	now := time.Unix(1000, 0)
	one := []Target{{Key: 7, Capacity: 6}}
	kinds := []Request{{Service: "s", Goal: 100 * time.Millisecond, TTL: time.Minute}, {Service: "s", Goal: 2 * time.Second, Priority: 2, TTL: time.Minute}}
	first := SlotID{Router: "first", Number: 1}
	a.Admit(now, first, kinds[0], one)
	now = now.Add(20 * time.Millisecond)
	a.Release(now, first, Served)
	var admitted [2]int
	var running []SlotID
	for i := range 4000 {
		now = now.Add(2 * time.Millisecond)
		id := SlotID{Router: "r", Number: uint64(i)}
		if _, ok := a.Admit(now, id, kinds[i%2], one); ok {
			admitted[i%2]++
			running = append(running, id)
		}
		if i%4 == 3 && len(running) > 0 {
			a.Release(now, running[0], Unused)
			running = running[1:]
		}
	}
	if admitted[0] < admitted[1] {
		t.Errorf("%d urgent and %d less urgent requests admitted", admitted[0], admitted[1])
	}
	now = now.Add(2 * goalTTL)
	n := 0
	for i := range 100 {
		if _, ok := a.Admit(now, SlotID{Router: "later", Number: uint64(i)}, kinds[1], one); ok {
			n++
		}
	}
	if n < 2*len(running) {
		t.Errorf("%d more admitted once no urgent requests come, want the queue of their own objective", n)
	}
}
