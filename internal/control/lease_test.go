package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/configlease"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// startRouter runs a lease holder until ctx ends.
func (f *memFleet) startRouter(ctx context.Context, wg *sync.WaitGroup, id string) *configlease.Holder {
	c := f.newClient(id)
	h := configlease.NewHolder(configlease.Config{
		Router:      id,
		Incarnation: 1,
		Client:      c,
		Logger:      discardLogger(),
		Scope:       tally.NoopScope,
	})
	wg.Go(func() {
		h.Run(ctx)
		c.Close()
	})
	return h
}

func holds(h *configlease.Holder) bool {
	_, _, ok := h.Lease()
	return ok
}

func TestLeaseUnderCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		h := f.startRouter(ctx, &wg, "r1")
		if err := h.WaitFirstLease(within(t, time.Second)); err != nil {
			t.Fatal(err)
		}
		stays := func(what string) {
			t.Helper()
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if !holds(h) {
					t.Fatalf("%s: the lease was lost", what)
				}
			}
		}
		f.net.setCut("a", "r1", true)
		stays("cut from the leader")
		c := f.client(t, "r1")
		c.leader.recordResult("b", "a", nil)
		for _, bound := range []time.Duration{time.Second, hedgeDelay} {
			start := time.Now()
			if _, err := c.Lease(within(t, time.Second), &pb.LeaseRequest{Router: "r1"}); err != nil || time.Since(start) >= bound {
				t.Fatalf("a lease request took %v while the leader did not reply: %v", time.Since(start), err)
			}
		}
		for _, id := range f.replicas() {
			f.net.setCut("r1", id, true)
		}
		stays("all replicas unreachable, relay reachable")
		f.elect("b")
		stays("new leader behind the relay")
		f.net.setCut("r1", "relay", true)
		time.Sleep(DefaultLease)
		if holds(h) {
			t.Fatal("a router that reaches no peer still holds a lease")
		}
		f.net.setCut("r1", "c", false)
		time.Sleep(2 * time.Second)
		if !holds(h) {
			t.Fatal("the router did not get a lease through a follower")
		}
	})
}

func TestInForceWaitsForACutRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		r1, r2 := f.startRouter(ctx, &wg, "r1"), f.startRouter(ctx, &wg, "r2")
		time.Sleep(DefaultLease + time.Second)
		c := f.client(t, "op")
		start := time.Now()
		first := accept(t, c, change("op-1", "aina", 0))
		if reply, err := c.InForce(within(t, 5*time.Second), first.Revision); err != nil || !reply.InForce {
			t.Fatalf("without faults: %v, %v", reply, err)
		}
		if took := time.Since(start); took > time.Second {
			t.Fatalf("in force after %v", took)
		}
		for _, id := range []string{"a", "b", "c", "relay"} {
			f.net.setCut("r2", id, true)
		}
		second := accept(t, c, change("op-2", "aina", 1))
		if reply, err := c.InForce(within(t, time.Second), second.Revision); err != nil || reply.InForce || len(reply.Waiting) != 1 || reply.Waiting[0] != "r2" {
			t.Fatalf("while r2 may serve under its lease: %v, %v", reply, err)
		}
		if reply, err := c.InForce(within(t, 5*time.Second), second.Revision); err != nil || !reply.InForce {
			t.Fatalf("after the lease of r2 has expired: %v, %v", reply, err)
		}
		if holds(r2) {
			t.Fatal("r2 still holds a lease with the old revision")
		}
		if revision, _, ok := r1.Lease(); !ok || revision != second.Revision {
			t.Fatalf("r1 is at revision %d", revision)
		}
	})
}

// A router that shuts down releases its lease, so that no change waits for it.
func TestInForceDoesNotWaitForAnEndedRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		h := f.startRouter(ctx, &wg, "r1")
		time.Sleep(DefaultLease + time.Second)
		cancel()
		wg.Wait()
		if holds(h) {
			t.Fatal("a router that has shut down holds a lease")
		}
		c := f.client(t, "op")
		result := accept(t, c, change("op-1", "aina", 0))
		if reply, err := c.InForce(within(t, 100*time.Millisecond), result.Revision); err != nil || !reply.InForce {
			t.Fatalf("after the router has shut down: %v, %v", reply, err)
		}
	})
}

// TestInForceIsTrue cuts and slows links, changes the leader and submits changes at
// random. Once InForce confirms a revision, no router may hold a lease with a
// lower revision, and no router's revision may decrease.
func TestInForceIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The plan is drawn outside the synctest bubble, since rapid ends a
		// failing run by a panic.
		plan := rapid.SliceOfN(rapid.Custom(drawFault), 5, 20).Draw(rt, "plan")
		violation := ""
		synctest.Test(t, func(t *testing.T) { violation = runLeases(t, plan) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func runLeases(t *testing.T, plan []plannedFault) string {
	f := newMemFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	run := &leaseRun{memFleet: f, lastRevision: map[string]uint64{}}
	for _, id := range []string{"r1", "r2", "r3"} {
		h := f.startRouter(ctx, &wg, id)
		wg.Go(func() { run.watch(ctx, id, h) })
	}
	wg.Go(func() { run.submitChanges(ctx) })
	for _, p := range plan {
		run.inject(p)
		time.Sleep(p.pause)
	}
	cancel()
	wg.Wait()
	return run.violation
}

type leaseRun struct {
	*memFleet
	mu           sync.Mutex
	inForce      uint64
	lastRevision map[string]uint64
	violation    string
}

// watch samples one router's lease and records violations.
func (r *leaseRun) watch(ctx context.Context, id string, h *configlease.Holder) {
	for ctx.Err() == nil {
		r.mu.Lock()
		revision, _, ok := h.Lease()
		if ok && revision < r.inForce {
			r.violation = fmt.Sprintf("%s holds a lease at revision %d after InForce confirmed revision %d", id, revision, r.inForce)
		}
		if revision < r.lastRevision[id] {
			r.violation = fmt.Sprintf("%s went from revision %d to %d", id, r.lastRevision[id], revision)
		}
		r.lastRevision[id] = revision
		r.mu.Unlock()
		sleep(ctx, 20*time.Millisecond)
	}
}

// submitChanges submits changes one after another and waits for each until it is
// active at all routers.
func (r *leaseRun) submitChanges(ctx context.Context) {
	c := r.newClient("op")
	defer c.Close()
	for i, revision := 0, uint64(0); ctx.Err() == nil; i++ {
		result, err := c.Change(ctx, change(fmt.Sprint("op-", i), "aina", revision))
		if err != nil {
			continue
		}
		revision = result.Revision
		tryCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		reply, err := c.InForce(tryCtx, revision)
		cancel()
		if err == nil && reply.InForce {
			r.mu.Lock()
			r.inForce = revision
			r.mu.Unlock()
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// plannedFault is one fault and the pause until the next one.
type plannedFault struct {
	kind, from, to, leader string
	delay, pause           time.Duration
}

func drawFault(t *rapid.T) plannedFault {
	names := rapid.SampledFrom([]string{"a", "b", "c", "relay", "r1", "r2", "r3", "op"})
	return plannedFault{
		kind:   rapid.SampledFrom([]string{"cut", "slow", "heal", "elect", "isolate"}).Draw(t, "kind"),
		from:   names.Draw(t, "from"),
		to:     names.Draw(t, "to"),
		leader: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "leader"),
		delay:  time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond,
		pause:  time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause")) * time.Millisecond,
	}
}

func (r *leaseRun) inject(p plannedFault) {
	switch p.kind {
	case "cut":
		r.net.setCut(p.from, p.to, true)
	case "slow":
		r.net.setDelay(p.from, p.to, p.delay)
	case "heal":
		r.net.heal()
	case "elect":
		r.elect(p.leader)
	case "isolate":
		// The old leader acts as leader until its period ends.
		r.setCut(r.currentLeader(), true)
		time.Sleep(p.delay)
		r.elect(p.leader)
	}
}

// A leader whose period ends during the read-index round must not grant a lease.
func TestLeaseIsRefusedAfterThePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		f.nodes["a"].afterRead = func() {
			f.setCut("a", true)
			time.Sleep(fakeLeaderLease)
		}
		reply, err := f.services["a"].lease(within(t, 5*time.Second), &pb.LeaseRequest{Router: "r1", Nonce: 1})
		if err == nil {
			t.Fatalf("a lease outside the leader's period: %v", reply)
		}
	})
}

func init() { testseed.Fix(20261203, 0) }
