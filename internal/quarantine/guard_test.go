package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// contact is the platform's time after the fifth crash from which on laterAllowed
	// requests with a part that crashes engines may reach engines; contactLarge is that
	// of the large deployment.
	contact      = 3 * time.Second
	contactLarge = 5 * time.Second
	laterAllowed = 3
	// crashesAllowed is the number of crashes after which contact begins.
	crashesAllowed = 5
	// controlBytesPerSecond is the budget of all control traffic of a daemon, averaged
	// over controlWindow seconds.
	controlBytesPerSecond = 4096
	controlWindow         = 5
)

// outbreak is a fleet with its requests a second, sound ones and ones that crash engines.
type outbreak struct {
	routers, engines int
	sound, bad       float64
	// loss is the share of messages that are lost.
	loss    float64
	contact time.Duration
}

// TestCrashingPartAcrossRouters guards against a part that each of many routers meets only
// once in a while: their evidence must add up. All routers must hold it soon after, at the
// size of 300 routers as well, with few bytes and without refusing sound requests.
func TestCrashingPartAcrossRouters(t *testing.T) {
	for _, c := range []outbreak{
		{2, 6, 40, 1, 0, contact},
		{6, 12, 80, 1, 0, contact},
		{6, 12, 80, 9, 0.05, contact},
		{60, 60, 300, 4, 0.02, contact},
		{300, 160, 600, 14, 0.02, contactLarge},
		{300, 160, 600, 140, 0.02, contactLarge},
	} {
		t.Run(fmt.Sprintf("%d routers, %g a second", c.routers, c.bad), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, c.routers, c.engines, 7)
				f.loss = c.loss
				f.traffic(5*time.Second, c.sound, nil)
				f.traffic(15*time.Second, c.sound, map[string]float64{"bad": c.bad})
				f.requests.Wait()
				f.wantHeld("bad")
				if n := f.later(crashesAllowed, c.contact); n > laterAllowed {
					t.Errorf("%d requests reached engines %v after the fifth crash, at most %d may", n, c.contact, laterAllowed)
				}
				if f.refused > f.answered/100 {
					t.Errorf("%d sound requests were refused, %d answered", f.refused, f.answered)
				}
				bytes := f.checkBytes()
				t.Logf("%d crashes, %d sound requests answered, %d interrupted, %d refused; %.0f B/s", len(f.crashes), f.answered, f.interrupted, f.refused, bytes)
			})
		})
	}
}

// TestCrashingRequestAcrossRouters guards against a request that each of many routers meets
// once in a while, with parts that sound requests have as well: the evidence must add up, with
// few bytes although each engine that ends interrupts many sound requests.
func TestCrashingRequestAcrossRouters(t *testing.T) {
	const (
		// crashesAllowed is the platform's number for requests.
		crashesAllowed = 3
		// expectedArrivals is the least number of times that the request comes on average.
		// With 18, it comes fewer than three times, and is not held, in 3 of a million runs.
		expectedArrivals = 18
	)
	for _, c := range []outbreak{
		{2, 6, 40, 1, 0, contact},
		{6, 12, 80, 1, 0, contact},
		{6, 12, 80, 0.3, 0.05, contact},
		{6, 12, 80, 5, 0.05, contact},
		{60, 60, 300, 2, 0.02, contact},
		{300, 160, 600, 1, 0.02, contactLarge},
		{300, 160, 600, 8, 0.02, contactLarge},
	} {
		for _, shared := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d routers, %g a second, shared parts %t", c.routers, c.bad, shared), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, c.routers, c.engines, 7)
					f.loss = c.loss
					bad := RequestKey("deadly", shared)
					f.traffic(5*time.Second, c.sound, nil)
					length := max(20*time.Second, time.Duration(expectedArrivals/c.bad*float64(time.Second)))
					f.traffic(length, c.sound, map[string]float64{bad: c.bad})
					f.requests.Wait()
					f.wantHeld(bad)
					if n := f.later(crashesAllowed, c.contact); n > laterAllowed {
						t.Errorf("the request reached engines %d times %v after the third crash, at most %d may", n, c.contact, laterAllowed)
					}
					if f.refused > 0 {
						t.Errorf("%d sound requests were refused, %d answered", f.refused, f.answered)
					}
					bytes := f.checkBytes()
					t.Logf("%d crashes, %d sound requests answered, %d interrupted; %.0f B/s", len(f.crashes), f.answered, f.interrupted, bytes)
				})
			})
		}
	}
}

// TestCrashingRequestsBesideCrashingParts guards against requests and parts that hide each
// other: two requests and two parts crash engines at the same time.
func TestCrashingRequestsBesideCrashingParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 12, 3)
		first, second := RequestKey("deadly-1", true), RequestKey("deadly-2", false)
		f.traffic(3*time.Second, 80, nil)
		f.traffic(40*time.Second, 80, map[string]float64{"bad-1": 1, "bad-2": 0.5, first: 1, second: 0.5})
		f.requests.Wait()
		f.wantHeld("bad-1", "bad-2", first, second)
		if f.refused > f.answered/50 {
			t.Errorf("%d sound requests were refused, %d answered", f.refused, f.answered)
		}
		t.Logf("%d crashes, %d sound requests answered, %d refused", len(f.crashes), f.answered, f.refused)
	})
}

// TestHeldRequestSurvives checks that a request stays held at routers that restart, on both
// sides of a partition and beside routers of two older builds, and that an operator can lift it.
func TestHeldRequestSurvives(t *testing.T) {
	bad := RequestKey("deadly", true)
	for name, disturb := range map[string]func(f *simFleet){
		"restart": func(f *simFleet) { f.start(f.routers[4]) },
		"partition": func(f *simFleet) {
			f.setCut(func(from, to *router) bool { return (from.status.Id < "router-010") != (to.status.Id < "router-010") })
			f.traffic(4*time.Second, 150, map[string]float64{bad: 3})
		},
		"builds that hold parts alone": func(f *simFleet) {
			for _, r := range f.routers[10:] {
				r.partsOnly.Store(true)
			}
			f.traffic(4*time.Second, 150, map[string]float64{bad: 3})
		},
		"older builds": func(f *simFleet) {
			for _, r := range f.routers[10:] {
				r.stop()
				r.old.Store(true)
			}
			f.traffic(4*time.Second, 150, map[string]float64{bad: 3})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 20, 40, 5)
				f.traffic(3*time.Second, 150, nil)
				f.traffic(8*time.Second, 150, map[string]float64{bad: 3})
				f.requests.Wait()
				f.wantHeld(bad)
				disturb(f)
				time.Sleep(time.Second)
				f.requests.Wait()
				f.wantHeld(bad)
				f.setCut(nil)
				time.Sleep(4 * time.Second)
				if !f.routers[4].guard().LiftPart(bad) {
					t.Error("the request was not held at the router that was asked to lift it")
				}
				time.Sleep(4 * time.Second)
				synctest.Wait()
				f.wantHeld()
			})
		})
	}
}

// TestSeveralCrashingParts guards against parts that hide each other: three at once, one of
// them rare, must be told apart from each other and from the sound parts in their prompts.
func TestSeveralCrashingParts(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6, 12, seed)
				f.traffic(3*time.Second, 80, nil)
				f.traffic(80*time.Second, 80, map[string]float64{"bad-1": 1.5, "bad-2": 0.7, "rare": 0.15})
				f.requests.Wait()
				// The holds of the first two may have been probed, but not lifted.
				f.wantHeld("bad-1", "bad-2", "rare")
				if f.refused > f.answered/50 {
					t.Errorf("%d sound requests were refused, %d answered", f.refused, f.answered)
				}
				t.Logf("%d crashes, %d sound requests answered, %d refused", len(f.crashes), f.answered, f.refused)
			})
		})
	}
}

// TestFailuresOfManyEnginesBlameNoPart guards against a verdict on a sound part when
// engines crash by themselves: all at once, one after the other, or at random moments.
func TestFailuresOfManyEnginesBlameNoPart(t *testing.T) {
	for name, crash := range map[string]func(f *simFleet){
		"all at once, again and again": func(f *simFleet) {
			for range 6 {
				f.crashAll()
				time.Sleep(5 * time.Second)
			}
		},
		"one after the other": func(f *simFleet) {
			for i := range 60 {
				e := f.engines[i%len(f.engines)]
				f.crash(e, e.id)
				time.Sleep(400 * time.Millisecond)
			}
		},
		"half of them at random": func(f *simFleet) {
			for range 40 {
				for _, e := range f.engines {
					if f.arrivalsIn(time.Second, 0.1) > 0 {
						f.crash(e, e.id)
					}
				}
				time.Sleep(500 * time.Millisecond)
			}
		},
	} {
		for _, routers := range []int{1, 6, 60} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s/%d routers/seed %d", name, routers, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, routers, 12, seed)
						f.requests.Go(func() { f.traffic(32*time.Second, 80, nil) })
						time.Sleep(2 * time.Second)
						crash(f)
						f.requests.Wait()
						f.wantHeld()
						if f.refused > 0 {
							t.Errorf("%d sound requests were refused", f.refused)
						}
					})
				})
			}
		}
	}
}

// TestHoldInMixedBuilds checks that the routers of this build find and hold a part while
// half of the routers are of a build that ignores their messages and goes on sending it.
func TestHoldInMixedBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, 40, 5)
		for i, r := range f.routers {
			if i%2 == 1 {
				r.stop()
				r.old.Store(true)
			}
		}
		f.traffic(3*time.Second, 150, nil)
		f.traffic(10*time.Second, 150, map[string]float64{"bad": 3})
		f.requests.Wait()
		f.wantHeld("bad")
	})
}

// TestHoldDuringPartition checks that both sides of a cut between the routers hold a part,
// and that they agree after it has healed.
func TestHoldDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 24, 5)
		f.setCut(func(from, to *router) bool { return (from.status.Id < "router-006") != (to.status.Id < "router-006") })
		f.traffic(3*time.Second, 150, nil)
		f.traffic(12*time.Second, 150, map[string]float64{"bad": 3})
		f.wantHeld("bad")
		f.setCut(nil)
		f.traffic(5*time.Second, 150, map[string]float64{"bad": 3})
		f.requests.Wait()
		f.wantHeld("bad")
	})
}

// TestRestartedRouterLearnsHolds guards against a router that restarts and sends the
// requests that all others withhold.
func TestRestartedRouterLearnsHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, 40, 5)
		f.traffic(3*time.Second, 150, nil)
		f.traffic(8*time.Second, 150, map[string]float64{"bad": 3})
		f.requests.Wait()
		f.wantHeld("bad")
		f.start(f.routers[4])
		time.Sleep(time.Second)
		synctest.Wait()
		f.wantHeld("bad")
	})
}

// holdWrongly makes all routers hold a sound part: each of its first requests meets an
// engine that crashes for another reason.
func holdWrongly(f *simFleet, part string) {
	for range 6 {
		e := f.engines[0]
		sent := time.Now()
		time.Sleep(100 * time.Millisecond)
		f.observe(f.routers[0], e.id, []string{part}, sent, Interrupted, true)
		f.crash(e, e.id)
	}
	time.Sleep(4 * time.Second)
	synctest.Wait()
	f.wantHeld(part)
}

// TestWrongHoldIsLifted checks that a hold on a sound part ends at all routers by an answer
// to a request that was in flight, by a probe, and by an operator.
func TestWrongHoldIsLifted(t *testing.T) {
	for name, lift := range map[string]func(f *simFleet){
		"by an answer": func(f *simFleet) {
			f.observe(f.routers[3], 77, []string{"first-0", "sound"}, time.Now(), Answered, false)
		},
		"by a probe": func(f *simFleet) {
			time.Sleep(firstHold)
			for range 400 {
				f.request(f.randomRouter(), "first-0", "sound")
				time.Sleep(100 * time.Millisecond)
			}
			f.requests.Wait()
		},
		"by an operator": func(f *simFleet) {
			if !f.routers[5].guard().LiftPart("sound") {
				f.t.Error("the part was not held at the router that was asked to lift it")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 10, 12, 5)
				holdWrongly(f, "sound")
				lift(f)
				time.Sleep(4 * time.Second)
				synctest.Wait()
				f.wantHeld()
			})
		})
	}
}

// TestProbesAreFew guards against probes that crash engines as often as the requests did:
// while a part stays bad, each hold is longer than the one before it, and one router probes.
func TestProbesAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 40, 5)
		f.traffic(2*time.Second, 50, nil)
		f.traffic(10*time.Second, 50, map[string]float64{"bad": 5})
		f.requests.Wait()
		before := len(f.arrivals)
		f.traffic(200*time.Second, 20, map[string]float64{"bad": 5})
		f.requests.Wait()
		f.wantHeld("bad")
		// Holds of 30, 60 and 120 s end within this time.
		if probes := len(f.arrivals) - before; probes < 1 || probes > 3 {
			t.Errorf("%d probes in 200 s, want 1 to 3", probes)
		}
	})
}

// TestUpdatesDoNotEndRequests guards against a router that starts during an outbreak, takes
// the first update on some part for the decisions of the fleet, and sends requests with a
// part that all others hold.
func TestUpdatesDoNotEndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 12, 5)
		holdWrongly(f, "held")
		f.start(f.routers[2])
		f.routers[2].guard().Handle("router-000", f.routers[0].status.PeerAddr, &pb.Quarantine{Records: []*pb.PartRecord{{Part: "other"}}})
		time.Sleep(requestInterval + 2*roundInterval)
		synctest.Wait()
		f.wantHeld("held")
	})
}
