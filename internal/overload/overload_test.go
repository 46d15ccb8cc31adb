package overload_test

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/overload"
)

// offer sends requests of the given kinds and teams in turn, one each millisecond, to a service
// whose only target has ten slots and a constant number of requests in flight. It returns how
// many of each were admitted, and the last decisions.
func offer(requests []overload.Request, inFlight, rounds int) (admitted []int, last []overload.Decision) {
	a := overload.New()
	now := time.Unix(1000, 0)
	admitted, last = make([]int, len(requests)), make([]overload.Decision, len(requests))
	for n := range rounds {
		for i, r := range requests {
			now = now.Add(time.Millisecond)
			r.Service, r.TimeLeft = "llm", time.Second
			draw := float64(n*7%10) / 10
			last[i] = a.Decide(now, r, []overload.Target{{Key: 1, ID: "t", InFlight: inFlight, Slots: 10}}, draw)
			if last[i].Admitted {
				admitted[i]++
			}
		}
	}
	return admitted, last
}

// TestOrderOfRejection guards against rejections without overload, against a wrong order of
// kinds and teams as the queue grows, and against starvation.
func TestOrderOfRejection(t *testing.T) {
	requests := []overload.Request{{Priority: 0, Team: "a"}, {Priority: 1, Team: "a"}, {Priority: 2, Team: "a"}}
	for range 5 {
		requests = append(requests, overload.Request{Priority: 2, Team: "b"})
	}
	const rounds = 200
	for _, inFlight := range []int{0, 4, 10, 11, 12, 13, 14, 15, 17, 30} {
		admitted, _ := offer(requests, inFlight, rounds)
		t.Logf("%d in flight: admitted %v", inFlight, admitted)
		leastUrgent, teamB, all := admitted[2], 0, 0
		for i, n := range admitted {
			all += n
			if i > 2 {
				teamB += n
			}
		}
		offered := rounds * len(requests)
		if inFlight <= 10 && all < offered {
			t.Errorf("%d in flight at ten slots: %d of %d admitted", inFlight, all, offered)
		}
		if admitted[0] < admitted[1] || admitted[1] < leastUrgent {
			t.Errorf("%d in flight: an urgent kind is admitted less often than a less urgent one: %v", inFlight, admitted)
		}
		if 5*leastUrgent < teamB {
			t.Errorf("%d in flight: the team with the most requests is admitted more often: %v", inFlight, admitted)
		}
		if ratio := float64(all) / float64(offered); float64(leastUrgent+teamB) < 0.25*ratio*6*rounds {
			t.Errorf("%d in flight: the least urgent kind starves: %v", inFlight, admitted)
		}
	}
}

// TestRetryAfterGrows checks that rejected callers are told to return one after another, not
// together.
func TestRetryAfterGrows(t *testing.T) {
	a := overload.New()
	now := time.Unix(1000, 0)
	r := overload.Request{Service: "llm", Priority: 1, TimeLeft: time.Second}
	a.Decide(now, overload.Request{Service: "llm", TimeLeft: time.Second}, nil, 0)
	for range 100 {
		a.Decide(now, r, nil, 0)
	}
	last := time.Duration(0)
	for range 10 {
		d := a.Decide(now, r, []overload.Target{{Key: 1, InFlight: 20, Slots: 10}}, 0.9)
		if d.Admitted || d.RetryAfter <= last && d.RetryAfter > 200*time.Millisecond {
			t.Fatalf("%+v after one that is to return in %v", d, last)
		}
		last = d.RetryAfter
	}
	if last < 500*time.Millisecond {
		t.Errorf("the tenth is to return in %v, at 12 admissions per second", last)
	}
}

// TestOneKindIsNotRejected guards against a small service of one priority that rejects what its
// targets' queues would soon have served.
func TestOneKindIsNotRejected(t *testing.T) {
	a := overload.New()
	now := time.Unix(1000, 0)
	r := overload.Request{Service: "llm", TimeLeft: time.Second}
	for range 10 {
		if d := a.Decide(now, r, []overload.Target{{Key: 1, InFlight: 6, Slots: 4}}, 0.9); !d.Admitted {
			t.Fatalf("%+v, want it admitted", d)
		}
	}
}

// TestMemory checks that a target whose memory would be exceeded is listed, but not while
// requests neither queue nor wait: their tokens are upper bounds.
func TestMemory(t *testing.T) {
	a := overload.New()
	now := time.Unix(1000, 0)
	r := overload.Request{Service: "llm", Goal: time.Second, TimeLeft: time.Second, Tokens: 400, Memory: 1000}
	targets := []overload.Target{{Key: 1, ID: "t1", InFlight: 2, Own: 2, Slots: 3}, {Key: 2, ID: "t2", InFlight: 1, Own: 1, Slots: 1}}
	for _, key := range []uint32{1, 1, 2} {
		a.Start(key, r)
	}
	d := a.Decide(now, r, targets, 0)
	if _, full := a.Memory(now, r, targets, d, 0); full != nil {
		t.Errorf("full without a queue: %v", full)
	}
	a.Start(3, r)
	a.End(now, 3, r, 900*time.Millisecond, time.Second)
	if d, full := a.Memory(now, r, targets, d, 0); !d.Admitted || len(full) != 1 || full[0] != "t1" {
		t.Errorf("%+v, full: %v, want target 1", d, full)
	}
}
