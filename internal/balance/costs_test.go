package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/cost"
)

// costBalancer returns a balancer over 12 targets. If learned is set, it has observed requests that
// take 10 ms for each 1,000 tokens. The returned function advances its clock.
func costBalancer(t *testing.T, learned bool) (*Balancer, func(time.Duration)) {
	view, now := newView(12), time.Unix(1000, 0)
	b := New(view, nil)
	b.now = func() time.Time { return now }
	b.rng = rand.New(rand.NewPCG(1, 2))
	advance := func(d time.Duration) { now = now.Add(d) }
	for i := 0; learned && i < 300; i++ {
		r := costRequest(i, 200+100*(i%40))
		c, err := b.Pick(r)
		if err != nil {
			t.Fatal(err)
		}
		advance(time.Duration(r.Cost.PromptTokens) * 10 * time.Microsecond)
		c.FirstEvent()
		advance(50 * time.Millisecond)
		c.Done(Served)
	}
	b.rng = rand.New(rand.NewPCG(1, 2))
	return b, advance
}

func costRequest(i, tokens int) Request {
	r := Request{Service: "llm", Key: fmt.Sprint("s", i), Goal: 300 * time.Millisecond}
	r.Cost = cost.Request{Route: "chat", PromptTokens: tokens}
	if i%3 == 0 {
		r.Key, r.Cost.PromptTokens, r.Cost.Path = "", 0, "/lookup"
	}
	return r
}

// TestCostsNeedReportsAndObservations checks that the choice is the one by numbers of requests
// while no target reports its pace, while nothing is learned, and after all reports have become
// old.
func TestCostsNeedReportsAndObservations(t *testing.T) {
	plain, _ := costBalancer(t, false)
	learned, _ := costBalancer(t, true)
	reported, _ := costBalancer(t, false)
	old, advance := costBalancer(t, true)
	for i, st := range old.view.Targets() {
		reported.ObservePace(st, 50+40*i)
		old.ObservePace(st, 50+40*i)
	}
	advance(2 * time.Second)
	for i := range 300 {
		r := costRequest(i, 4000)
		want, err := plain.Pick(r)
		if err != nil {
			t.Fatal(err)
		}
		for name, b := range map[string]*Balancer{"learned": learned, "reported": reported, "old": old} {
			got, err := b.Pick(r)
			if err != nil || got.Target.Id != want.Target.Id || got.Reason != want.Reason {
				t.Fatalf("request %d, costs %s: %s (%s), without costs %s (%s)", i, name, got.Target.GetId(), got.Reason, want.Target.Id, want.Reason)
			}
		}
	}
}

// TestSlowTargetIsPassedOver checks that a prompt moves away from a target that reports a slow
// pace, unless its shared parts are expensive to read again.
func TestSlowTargetIsPassedOver(t *testing.T) {
	b, _ := costBalancer(t, true)
	r := costRequest(1, 8000)
	first, err := b.Pick(r)
	if err != nil {
		t.Fatal(err)
	}
	first.Done(Abandoned)
	b.ObservePace(first.Target, 250)
	moved, err := b.Pick(r)
	if err != nil || moved.Target.Id == first.Target.Id {
		t.Errorf("the prompt stays at the slow target: %v, %v", moved.Reason, err)
	}
	t.Log(moved.Reason)
	moved.Done(Abandoned)
	r.Cost.PromptTokens, r.Cost.SharedTokens = 11000, 8000
	if stays, err := b.Pick(r); err != nil || stays.Target.Id != first.Target.Id {
		t.Errorf("a prompt whose parts are expensive to read again moves: %v, %v", stays.Reason, err)
	}
}

// TestPlainRequestsAvoidSlowTargets checks that a request without a prompt whose work puts its
// objective at risk avoids a slow target of this data centre, and that a short one does not.
func TestPlainRequestsAvoidSlowTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 2))
	at := func(work time.Duration) (slow int) {
		for range 300 {
			var all []*candidate
			for i, pace := range []float64{4, 1, 1} {
				e := &expectation{pace: pace, first: scale(work, pace), goal: 300 * time.Millisecond}
				all = append(all, &candidate{status: engine(fmt.Sprint(i)), healthy: true, capacity: 6, expected: e})
			}
			all[1].inFlight, all[2].inFlight = 4, 4
			if selectByLoad(all, "", rng.Float64).target == all[0] {
				slow++
			}
		}
		return slow
	}
	if n := at(100 * time.Millisecond); n > 60 {
		t.Errorf("%d of 300 long requests are sent to the slow target", n)
	}
	if n := at(5 * time.Millisecond); n != 300 {
		t.Errorf("%d of 300 short requests are sent to the lightly loaded target", n)
	}
}
