package home

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation plays requests at targets with places and a queue, as callers send
// them: a caller that is refused comes back once.
type simulation struct {
	now    float64 // seconds
	events events
	rng    *rand.Rand
	// admit returns the target for a request, -1 to refuse it, and what to call at
	// its end.
	admit   func(now float64, overdue bool) (target int, done func(now float64))
	targets []*simTarget

	sent, inTime, late, lost int
}

type simTarget struct {
	running int
	queue   []func()
}

type event struct {
	at float64
	fn func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// The grown portal: three targets of six places and 24 waiting, 30 ms of work, a
// goal of 150 ms of which 16 ms are the way to the caller, a deadline of one second.
const (
	simSlots         = 6
	simQueue         = 24
	simGoal          = 0.150
	simCallerLatency = 0.016
	simDeadline      = 1.0
	simRetryDelay    = 0.33
	simDuration      = 40.0
	// simThroughput is what the targets serve in a second.
	simThroughput = 565.0
)

func (s *simulation) after(d float64, fn func()) { heap.Push(&s.events, event{s.now + d, fn}) }

func (s *simulation) runTime() float64 {
	w := 0.030 * math.Exp(s.rng.NormFloat64()*0.47-0.11)
	if s.rng.Float64() < 0.01 {
		w *= 5
	}
	return w
}

func (s *simulation) start(t *simTarget, done func()) {
	t.running++
	s.after(s.runTime(), func() {
		t.running--
		done()
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
	})
}

func (s *simulation) arrive(born float64, again bool) {
	target, done := s.admit(s.now, s.now-born > simGoal/2)
	if target >= 0 {
		t := s.targets[target]
		finish := func() {
			done(s.now)
			s.respond(s.now - born + simCallerLatency)
		}
		if t.running < simSlots {
			s.start(t, finish)
			return
		}
		if len(t.queue) < simQueue {
			t.queue = append(t.queue, func() { s.start(t, finish) })
			return
		}
		done(s.now)
	}
	if again {
		s.lost++
		return
	}
	s.after(simRetryDelay, func() { s.arrive(born, true) })
}

func (s *simulation) respond(took float64) {
	switch {
	case took <= simGoal:
		s.inTime++
	case took < simDeadline:
		s.late++
	default:
		s.lost++
	}
}

// run plays requests at a rate that changes over time.
func (s *simulation) run(rate func(at float64) float64) {
	var next func()
	next = func() {
		s.sent++
		s.arrive(s.now, false)
		s.after(s.rng.ExpFloat64()/rate(s.now), next)
	}
	s.after(0, next)
	for s.now < simDuration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
}

func newSimulation() *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(1, 2))}
	for range 3 {
		s.targets = append(s.targets, &simTarget{})
	}
	return s
}

// withAdmitter places by a home.
func withAdmitter(s *simulation) {
	h := New()
	number := uint64(0)
	clock := func(at float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(at * float64(time.Second)))
	}
	all := []Target{{Key: 1, Capacity: simSlots}, {Key: 2, Capacity: simSlots}, {Key: 3, Capacity: simSlots}}
	s.admit = func(now float64, overdue bool) (int, func(float64)) {
		number++
		p := SlotID{Router: "r", Number: number}
		ask := Request{Service: "portal", Goal: time.Duration(simGoal * float64(time.Second)), Overdue: overdue, TTL: time.Second}
		key, ok := h.Admit(clock(now), p, ask, all)
		if !ok {
			return -1, nil
		}
		return int(key) - 1, func(at float64) { h.Release(clock(at), p, Served) }
	}
}

// TestReplayOverload replays the grown portal under more requests than it serves,
// for some seconds and for long: of those that it can serve, nine in ten are answered
// in time. Drawn evenly and never refused by us, a third are.
func TestReplayOverload(t *testing.T) {
	for _, c := range []struct {
		name string
		rate func(float64) float64
	}{
		{"calm", func(float64) float64 { return 350 }},
		{"nearly full", func(float64) float64 { return 540 }},
		{"a tenth more than they serve", func(float64) float64 { return 620 }},
		{"a quarter more", func(float64) float64 { return 700 }},
		{"a burst of 3 in 8 seconds", func(at float64) float64 {
			if in := math.Mod(at, 8); in > 3 && in < 6 {
				return 650
			}
			return 350
		}},
	} {
		s := newSimulation()
		withAdmitter(s)
		s.run(c.rate)
		servable := min(float64(s.sent), simThroughput*simDuration)
		t.Logf("%s: %d asked, %d in time, %d late, %d lost", c.name, s.sent, s.inTime, s.late, s.lost)
		if float64(s.inTime) < 0.9*servable {
			t.Errorf("%s: %d of %.0f that can be served were answered in time, want nine in ten", c.name, s.inTime, servable)
		}
	}
}

// TestFailingTargetDrawsNoMore replays a target that fails its requests at once:
// though they are over at once, it must not draw more of them than the others.
func TestFailingTargetDrawsNoMore(t *testing.T) {
	h := New()
	now := time.Unix(1000, 0)
	all := []Target{{Key: 1, Capacity: 6}, {Key: 2, Capacity: 6}, {Key: 3, Capacity: 6}}
	got := make(map[uint32]int)
	var running []SlotID
	for i := range 600 {
		now = now.Add(4 * time.Millisecond)
		p := SlotID{Router: "r", Number: uint64(i)}
		key, ok := h.Admit(now, p, Request{Service: "s", Goal: 150 * time.Millisecond, TTL: time.Second}, all)
		if !ok {
			t.Fatal("no target")
		}
		got[key]++
		if key == 1 {
			h.Release(now, p, Failed)
			continue
		}
		running = append(running, p)
		if len(running) > 8 {
			h.Release(now, running[0], Served)
			running = running[1:]
		}
	}
	if got[1] > 200 {
		t.Errorf("requests by target %v: the failing one draws over a third", got)
	}
}

// TestPlacesEnd has places given back, asked for twice and never given back.
func TestPlacesEnd(t *testing.T) {
	h := New()
	now := time.Unix(1000, 0)
	one := []Target{{Key: 7, Capacity: 1}}
	ask := Request{Service: "s", Goal: 100 * time.Millisecond, TTL: time.Second}
	p, q := SlotID{"r", 1}, SlotID{"r", 2}
	h.Admit(now, p, ask, one)
	h.Admit(now, p, ask, one)
	if n := h.counts[7]; n != 1 {
		t.Errorf("%d requests after the same place was asked for twice, want 1", n)
	}
	if key, ok := h.Release(now, p, Served); !ok || key != 7 {
		t.Errorf("end: target %d, %t", key, ok)
	}
	if _, ok := h.Release(now, p, Served); ok {
		t.Error("a place was given back twice")
	}
	h.Admit(now, q, ask, one)
	now = now.Add(2 * time.Second)
	h.Admit(now, p, ask, nil)
	if n := h.counts[7]; n != 0 {
		t.Errorf("%d requests after the place's life", n)
	}
}

// TestOverdueRequestsHoldUpNone admits overdue requests to a short queue only.
func TestOverdueRequestsHoldUpNone(t *testing.T) {
	h := New()
	now := time.Unix(1000, 0)
	one := []Target{{Key: 7, Capacity: 6}}
	admitted := func(overdue bool) int {
		for i := range 100 {
			p := SlotID{Router: "r", Number: uint64(h.counts[7] + 1)}
			if _, ok := h.Admit(now, p, Request{Service: "s", Goal: 150 * time.Millisecond, Overdue: overdue, TTL: time.Second}, one); !ok {
				return i
			}
		}
		return 100
	}
	if n := admitted(true); n != 9 {
		t.Errorf("%d overdue requests were admitted, want 9", n)
	}
	if n := admitted(false); n == 0 {
		t.Error("overdue requests kept out one that can be in time")
	}
}

// TestNoGoal admits requests without a goal however many there are.
func TestNoGoal(t *testing.T) {
	h := New()
	now := time.Unix(1000, 0)
	one := []Target{{Key: 7, Capacity: 6}}
	for i := range 100 {
		ask := Request{Service: "s", Overdue: i%2 == 0, TTL: time.Second}
		if _, ok := h.Admit(now, SlotID{Router: "r", Number: uint64(i)}, ask, one); !ok {
			t.Fatalf("request %d was refused", i)
		}
	}
}
