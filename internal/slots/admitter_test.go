package slots

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation runs requests at targets with a limited number of slots and a queue. A
// caller whose request is rejected retries it once.
type simulation struct {
	now    float64 // seconds
	events events
	rng    *rand.Rand
	// admit returns the target for a request and a function to call when the request
	// has ended. The target is -1 if the request is rejected.
	admit   func(now float64, overdue bool) (target int, done func(now float64))
	targets []*simTarget

	// inTime counts the requests answered within the latency objective, late those
	// answered before the deadline, and lost all others.
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

// The load of a web portal: three targets with six slots and a queue of 24 each, a mean
// run time of 30 ms, a latency objective of 150 ms, of which the network to the caller
// takes 16 ms, and a deadline of one second.
const (
	simSlots         = 6
	simQueue         = 24
	simGoal          = 0.150
	simCallerLatency = 0.016
	simDeadline      = 1.0
	simRetryDelay    = 0.33
	simDuration      = 40.0
	// simThroughput is the number of requests per second that the targets can run.
	simThroughput = 565.0
)

func (s *simulation) after(d float64, fn func()) { heap.Push(&s.events, event{s.now + d, fn}) }

// runTime returns a random run time in seconds: a log-normal distribution with a mean of
// 30 ms, of which one value in a hundred is multiplied by five.
func (s *simulation) runTime() float64 {
	seconds := 0.030 * math.Exp(s.rng.NormFloat64()*0.47-0.11)
	if s.rng.Float64() < 0.01 {
		seconds *= 5
	}
	return seconds
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

// arrive simulates the arrival of a request that the caller first sent at sentAt.
func (s *simulation) arrive(sentAt float64, retried bool) {
	target, done := s.admit(s.now, s.now-sentAt > simGoal/2)
	if target >= 0 {
		t := s.targets[target]
		finish := func() {
			done(s.now)
			s.respond(s.now - sentAt + simCallerLatency)
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
	if retried {
		s.lost++
		return
	}
	s.after(simRetryDelay, func() { s.arrive(sentAt, true) })
}

// respond counts a request that is answered after the given number of seconds.
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

// run simulates requests that arrive at a rate that changes over time (a Poisson
// process).
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

// withAdmitter admits the requests of s with an Admitter.
func withAdmitter(s *simulation) {
	a := New()
	number := uint64(0)
	clock := func(at float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(at * float64(time.Second)))
	}
	all := []Target{{Key: 1, Capacity: simSlots}, {Key: 2, Capacity: simSlots}, {Key: 3, Capacity: simSlots}}
	s.admit = func(now float64, overdue bool) (int, func(float64)) {
		number++
		id := SlotID{Router: "r", Number: number}
		request := Request{Service: "portal", Goal: time.Duration(simGoal * float64(time.Second)), Overdue: overdue, TTL: time.Second}
		key, ok := a.Admit(clock(now), id, request, all)
		if !ok {
			return -1, nil
		}
		return int(key) - 1, func(at float64) { a.Release(clock(at), id, Served) }
	}
}

// TestReplayOverload simulates loads up to and above the targets' capacity, for some
// seconds and permanently. Nine in ten of the requests that the targets can run must be
// answered within the latency objective. If the router distributed the requests evenly
// and never rejected one, a third of them would be.
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
		t.Logf("%s: %d sent, %d in time, %d late, %d lost", c.name, s.sent, s.inTime, s.late, s.lost)
		if float64(s.inTime) < 0.9*servable {
			t.Errorf("%s: %d of %.0f requests within the capacity were answered in time, want nine in ten", c.name, s.inTime, servable)
		}
	}
}

// TestFailingTargetDrawsNoMore simulates a target that fails its requests immediately.
// Although its requests end at once, the target must not receive more requests than the
// other targets do.
func TestFailingTargetDrawsNoMore(t *testing.T) {
	a := New()
	now := time.Unix(1000, 0)
	all := []Target{{Key: 1, Capacity: 6}, {Key: 2, Capacity: 6}, {Key: 3, Capacity: 6}}
	got := make(map[uint32]int)
	var running []SlotID
	for i := range 600 {
		now = now.Add(4 * time.Millisecond)
		id := SlotID{Router: "r", Number: uint64(i)}
		key, ok := a.Admit(now, id, Request{Service: "s", Goal: 150 * time.Millisecond, TTL: time.Second}, all)
		if !ok {
			t.Fatal("no target")
		}
		got[key]++
		if key == 1 {
			a.Release(now, id, Failed)
			continue
		}
		running = append(running, id)
		if len(running) > 8 {
			a.Release(now, running[0], Served)
			running = running[1:]
		}
	}
	if got[1] > 200 {
		t.Errorf("requests by target %v: the failing one receives over a third", got)
	}
}

// TestPlacesEnd checks that a slot is counted once if it is requested twice, that it can
// be released only once, and that it expires after its TTL if it is never released.
// In the test's name, places are slots; a slot ends by release or expiry.
func TestPlacesEnd(t *testing.T) {
	a := New()
	now := time.Unix(1000, 0)
	one := []Target{{Key: 7, Capacity: 1}}
	request := Request{Service: "s", Goal: 100 * time.Millisecond, TTL: time.Second}
	id, otherID := SlotID{"r", 1}, SlotID{"r", 2}
	a.Admit(now, id, request, one)
	a.Admit(now, id, request, one)
	if n := a.counts[7]; n != 1 {
		t.Errorf("%d requests after the same slot was requested twice, want 1", n)
	}
	if key, ok := a.Release(now, id, Served); !ok || key != 7 {
		t.Errorf("release: target %d, %t, want 7, true", key, ok)
	}
	if _, ok := a.Release(now, id, Served); ok {
		t.Error("a slot was released twice")
	}
	a.Admit(now, otherID, request, one)
	now = now.Add(2 * time.Second)
	a.Admit(now, id, request, nil)
	if n := a.counts[7]; n != 0 {
		t.Errorf("%d requests after the slot's TTL", n)
	}
}

// TestOverdueRequestsHoldUpNone checks that overdue requests are admitted only to a short
// queue, so that requests that can still meet their latency objective are admitted after
// them.
// In the test's name, none means no request that can still meet its objective.
func TestOverdueRequestsHoldUpNone(t *testing.T) {
	a := New()
	now := time.Unix(1000, 0)
	one := []Target{{Key: 7, Capacity: 6}}
	admitted := func(overdue bool) int {
		for i := range 100 {
			id := SlotID{Router: "r", Number: uint64(a.counts[7] + 1)}
			if _, ok := a.Admit(now, id, Request{Service: "s", Goal: 150 * time.Millisecond, Overdue: overdue, TTL: time.Second}, one); !ok {
				return i
			}
		}
		return 100
	}
	if n := admitted(true); n != 9 {
		t.Errorf("%d overdue requests admitted, want 9", n)
	}
	if n := admitted(false); n == 0 {
		t.Error("no request that can meet its objective was admitted after overdue ones")
	}
}

// TestNoGoal checks that requests without a latency objective are always admitted.
func TestNoGoal(t *testing.T) {
	a := New()
	now := time.Unix(1000, 0)
	one := []Target{{Key: 7, Capacity: 6}}
	for i := range 100 {
		request := Request{Service: "s", Overdue: i%2 == 0, TTL: time.Second}
		if _, ok := a.Admit(now, SlotID{Router: "r", Number: uint64(i)}, request, one); !ok {
			t.Fatalf("request %d was rejected", i)
		}
	}
}
