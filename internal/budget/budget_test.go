package budget

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(20261203, 0)
	os.Exit(m.Run())
}

// Over any period, the bytes allowed must stay within the rate plus one burst, even
// if other bytes are charged after they were sent. The package asserts the same
// invariant at run time.
func TestNeverOverBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{})
		start := time.Unix(1000, 0)
		now := start
		spent := 0
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 3000).Draw(t, "bytes")
			c := Class(rapid.IntRange(0, int(numBudgeted)-1).Draw(t, "class"))
			if rapid.IntRange(0, 9).Draw(t, "charge") == 0 {
				b.ChargeAt(now, c, n)
				spent += n
				continue
			}
			if !b.AllowAt(now, c, n) {
				continue
			}
			spent += n
			if bound := DefaultBurstBytes + now.Sub(start).Seconds()*DefaultBytesPerSecond + 1; float64(spent) > bound {
				t.Fatalf("%d bytes after %v, over %.0f", spent, now.Sub(start), bound)
			}
		}
		if got := b.Stats().ControlSent(); got != int64(spent) {
			t.Fatalf("counted %d bytes of %d", got, spent)
		}
	})
}

// A class must not use up the reserve of the classes of higher priority. In the test's
// name, borrow means that higher classes may use the reserve that lower ones must leave.
func TestHigherClassesBorrow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	for c := Hint; c >= Lease; c-- {
		for b.AllowAt(now, c, 64) {
		}
		if c > Drain && !b.AllowAt(now, c-1, 64) {
			t.Fatalf("class %v used up the reserve of class %v", c, c-1)
		}
	}
	if b.AllowAt(now, Lease, 64) {
		t.Fatal("an empty bucket allowed a lease")
	}
}

func TestClassOf(t *testing.T) {
	for method, want := range map[string]Class{
		"control.lease": Lease, "control.submit": Request, "control.query": Request, "raft.0.step": Replica, "schedule.admit": Request,
		"limits.lend": Request, "report.burn": Report, "hint.cache": Hint, "else": Liveness,
	} {
		if got := ClassOf(method); got != want {
			t.Errorf("%s: %v, want %v", method, got, want)
		}
	}
}

// Lease requests of a router that searches for a leader without pause, or replies
// to targets that announce themselves too often, must not use up the bytes for
// replies to probes and for gossip updates. In this test, probes and updates
// together use nearly the full rate that lease requests leave.
func TestLivenessIsNotStarved(t *testing.T) {
	const (
		interval  = 100 * time.Millisecond
		perSecond = int(time.Second / interval)
		// perRound is the number of bytes in one interval: 98%, rounded down, of
		// what lease requests leave.
		perRound = DefaultBytesPerSecond * (leaseDivisor - 1) / leaseDivisor / perSecond * 98 / 100
		probe    = perRound * 2 / 3
	)
	for name, flood := range map[string]func(b *Budget){
		"leases": func(b *Budget) {
			if b.Ready("control.lease", 120) {
				b.Sent("control.lease", 150)
			}
		},
		"answers to targets": func(b *Budget) { b.Charge(Announce, 250) },
	} {
		synctest.Test(t, func(t *testing.T) {
			b := New(Config{})
			for range 600 {
				for range 10 {
					flood(b)
					time.Sleep(interval / 10)
				}
				if !b.Allow(Liveness, probe) {
					t.Fatalf("a probe was refused because of %s", name)
				}
				if !b.Allow(Load, perRound-probe) {
					t.Fatalf("a message of class Load was refused because of %s", name)
				}
			}
			if s := b.Stats(); s.Refused[Lease] == 0 && s.Excess == 0 {
				t.Fatalf("nothing of the flood of %s was refused or counted as excess", name)
			}
		})
	}
}

// Whatever the demand, a process must stay within 4096 bytes/s over every window
// of boundWindow, even immediately after its start and after an idle time.
func TestBoundHoldsOverEveryWindow(t *testing.T) {
	const (
		bound       = 4096 // bytes/s
		boundWindow = 5 * time.Second
		step        = 20 * time.Millisecond
		packet      = 150 // bytes
	)
	// "targets in their pace" has replies to announcements at the rate
	// AnnounceReplyBytesPerSecond.
	for name, replyRate := range map[string]int{"no targets": 0, "targets in their pace": AnnounceReplyBytesPerSecond} {
		b := New(Config{})
		start := time.Unix(1000, 0)
		var sent []int // bytes by step
		due := 0.0
		for at := time.Duration(0); at < 40*time.Second; at += step {
			now := start.Add(at)
			before := b.Stats().ControlSent()
			for due += float64(replyRate) * step.Seconds(); due >= packet; due -= packet {
				b.ChargeAt(now, Announce, packet)
			}
			idle := at > 12*time.Second && at < 20*time.Second
			for !idle && b.AllowAt(now, Drain, packet) {
			}
			sent = append(sent, int(b.Stats().ControlSent()-before))
		}
		steps := int(boundWindow / step)
		for from := 0; from+steps <= len(sent); from++ {
			sum := 0
			for _, n := range sent[from : from+steps] {
				sum += n
			}
			if sum > bound*int(boundWindow/time.Second) {
				t.Errorf("%s: %d bytes in the %v from %v, over %d bytes/s", name, sum, boundWindow, time.Duration(from)*step, bound)
				break
			}
		}
	}
}

// Goroutines can read the clock some milliseconds before they acquire the lock, so
// the times passed to ChargeAt and AllowAt can arrive out of order. The rate and
// the invariant must hold nevertheless.
func TestTimesOutOfOrder(t *testing.T) {
	const (
		step   = 20 * time.Millisecond
		late   = 15 * time.Millisecond
		packet = 50 // bytes
		length = 5 * time.Second
	)
	b := New(Config{})
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < length; at += step {
		b.ChargeAt(start.Add(at+late), Announce, packet)
		for b.AllowAt(start.Add(at), Drain, packet) {
		}
	}
	most := int64(DefaultBytesPerSecond*length.Seconds()) + DefaultBurstBytes
	if sent := b.Stats().ControlSent() - b.Stats().Excess; sent > most {
		t.Errorf("%d bytes within the rate in %v, want at most %d", sent, length, most)
	}
}
