package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
)

// responderAndRequester returns two routers that know the same targets. The responder
// holds leases on them that are 100 ms old, the requester none.
func responderAndRequester(targets int) (w *simulation, responder, requester *core) {
	w = newSimulation(0, 1, 2, targets, 3)
	w.shareViews()
	responder, requester = w.nodes[0].core, w.nodes[1].core
	for _, e := range responder.targets {
		responder.renew(w.now, e, w.now.Add(-100*time.Millisecond))
	}
	return w, responder, requester
}

// TestRenewalsOfManyTargets has a reply hold 400 of the ages of 1,500 targets: within
// 40 replies all leases of the requester are renewed.
func TestRenewalsOfManyTargets(t *testing.T) {
	const targets, room, replies = 1500, 400, 40
	w, a, b := responderAndRequester(targets)
	for range replies {
		listed := b.presentNow(w.now)
		r := a.renewals(w.now, b.self.status.Id, listed.digests(), room)
		if len(r.Keys) > 0 || len(r.EqualAges) > room {
			t.Fatalf("%d keys, %d ages in a reply with room for %d", len(r.Keys), len(r.EqualAges), room)
		}
		b.applyRenewals(w.now, r, w.now, listed.list)
	}
	missing := 0
	for _, e := range b.targets {
		if !b.leased(w.now, e) {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d leases were not renewed by %d replies", missing, targets, replies)
	}
}

// TestRenewalsOfViewsThatDiffer has two routers know a thousand targets, each of them
// one that the other doesn't know. Within 40 replies of 800 bytes, which a fleet of a
// hundred routers sends in three seconds, the leases on all targets that both know are
// renewed.
func TestRenewalsOfViewsThatDiffer(t *testing.T) {
	const targets, room, replies = 1000, 800, 40
	w, a, b := responderAndRequester(targets)
	a.removeTarget(a.targets[w.targets[0].status.Id])
	b.removeTarget(b.targets[w.targets[1].status.Id])
	for range replies {
		listed := b.presentNow(w.now)
		r := a.renewals(w.now, b.self.status.Id, listed.digests(), room)
		if size := len(r.Keys)*renewalBytes + len(r.EqualAges); size > room {
			t.Fatalf("renewals of %d bytes, room for %d", size, room)
		}
		b.applyRenewals(w.now, r, w.now, listed.list)
	}
	missing := 0
	for id, e := range b.targets {
		if a.targets[id] != nil && !b.leased(w.now, e) {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d leases were not renewed by %d replies", missing, targets, replies)
	}
}

// TestPresentTargetsFollowTheTable compares the cached present targets with those
// computed from the table after each change.
func TestPresentTargetsFollowTheTable(t *testing.T) {
	w := newSimulation(0, 1, 1, 20, 3)
	w.shareViews()
	c := w.nodes[0].core
	check := func(what string) {
		t.Helper()
		got, want := c.presentNow(w.now), c.computePresent(w.now)
		if got.digest != want.digest || got.groups != want.groups || got.bucketSums != want.bucketSums || len(got.list) != len(want.list) {
			t.Errorf("after %s: %d present, digest %x; the table has %d, digest %x", what, len(got.list), got.digest, len(want.list), want.digest)
		}
	}
	check("the start")
	first := w.targets[0].status
	c.markLeaving(first.Id, first.Incarnation)
	check("a target leaves")
	again := shallowCopy(w.targets[1].status)
	again.Incarnation++
	c.applyStatus(w.now, again)
	check("a target has started again")
	w.now = w.now.Add(presentPeriod - time.Second)
	c.renew(w.now, c.targets[again.Id], w.now)
	check("one was renewed")
	w.now = w.now.Add(2 * time.Second)
	check("the others are long gone")
	c.renew(w.now, c.targets[w.targets[2].status.Id], w.now)
	check("one is back")
	c.removeTarget(c.targets[again.Id])
	check("one was removed")
	if n := len(c.presentNow(w.now).list); n != 1 {
		t.Errorf("%d targets are present at the end, want 1", n)
	}
}

// TestRestartOfAllIsShort restarts twelve routers at once, the three seeds some time
// after the others, as small replicas start: 350 ms after the seeds know the targets,
// each router knows them.
func TestRestartOfAllIsShort(t *testing.T) {
	const (
		routers, seeds, targets = 12, 3, 12
		bound                   = 350 * time.Millisecond
	)
	for seed := range uint64(10) {
		seedsLate := 120*time.Millisecond + time.Duration(seed)*97*time.Millisecond
		w := newSimulation(time.Hour, seed, routers, targets, 3)
		w.run(3 * time.Second)
		for _, target := range w.targets {
			target.running = false
		}
		w.intervals = Intervals{Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond}
		for _, n := range w.nodes {
			n.running = false
		}
		for _, n := range w.nodes[seeds:] {
			w.start(n)
		}
		w.run(seedsLate)
		for _, n := range w.nodes[:seeds] {
			w.start(n)
			for _, target := range w.targets {
				n.core.applyStatus(w.now, shallowCopy(target.status))
				n.core.renew(w.now, n.core.targets[target.status.Id], w.now)
			}
		}
		w.run(bound)
		for _, n := range w.nodes {
			if known := len(n.core.targets); known != targets {
				t.Errorf("seed %d: %s knows %d targets, want %d", seed, n.status.Id, known, targets)
			}
		}
	}
}

// TestRestartWithLateSeeds restarts a fleet in which the three seeds start last, and
// two other replicas, which have all addresses cached, start first and learn the
// targets: the routers know the targets 350 ms after the replicas do, before a seed has
// started.
func TestRestartWithLateSeeds(t *testing.T) {
	const (
		routers, seeds, replicas, targets = 12, 3, 2, 12
		bound                             = 350 * time.Millisecond
	)
	for seed := range uint64(10) {
		w := newSimulation(time.Hour, seed, routers, targets, 3)
		w.run(3 * time.Second)
		for _, target := range w.targets {
			target.running = false
		}
		w.intervals = Intervals{Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond}
		var all []string
		for _, n := range w.nodes {
			n.running = false
			all = append(all, n.status.PeerAddr)
		}
		early := w.nodes[seeds : seeds+replicas]
		w.cachedPeers = make(map[int][]string)
		for _, n := range early {
			w.cachedPeers[n.index] = all
		}
		for _, n := range w.nodes[seeds+replicas:] {
			w.start(n)
		}
		w.run(150 * time.Millisecond)
		for _, n := range early {
			w.start(n)
			for _, target := range w.targets {
				n.core.applyStatus(w.now, shallowCopy(target.status))
				n.core.renew(w.now, n.core.targets[target.status.Id], w.now)
			}
		}
		w.run(bound)
		for _, n := range w.nodes[seeds:] {
			if known := len(n.core.targets); known != targets {
				t.Errorf("seed %d: %s knows %d targets, want %d", seed, n.status.Id, known, targets)
			}
		}
	}
}

// TestRestartOfALargeFleet restarts 60 routers without cached data, whose five seeds
// receive announcements of 600 targets within 1.2 s: all routers know all targets
// within eight seconds, of the twelve after which the fleet must serve again.
func TestRestartOfALargeFleet(t *testing.T) {
	const (
		routers, seeds, targets = 60, 5, 600
		announced               = 1200 * time.Millisecond
		bound                   = 8 * time.Second
	)
	w := newSimulation(time.Hour, 1, routers, targets, 3)
	for _, target := range w.targets {
		target.running = false
	}
	w.run(time.Second)
	w.unlimitedUntil = w.now
	w.intervals = Intervals{Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond, TargetLease: time.Minute}
	w.syncDatagrams = 16
	w.budget = budget.Config{BytesPerSecond: 64 << 10, BurstBytes: 128 << 10}
	for _, n := range w.nodes {
		n.running = false
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	for i, target := range w.targets {
		n := w.nodes[i%seeds]
		w.after(time.Duration(i)*announced/targets, func() {
			n.core.applyStatus(w.now, shallowCopy(target.status))
			n.core.renew(w.now, n.core.targets[target.status.Id], w.now)
		})
	}
	w.run(bound)
	for _, n := range w.nodes {
		if known := len(n.core.targets); known != targets {
			t.Errorf("%s knows %d targets after %v, want %d", n.status.Id, known, bound, targets)
		}
	}
}

// BenchmarkApplyRenewals measures the requester's cost of a reply with the ages of 900
// targets, half of which are newer than the known ones.
func BenchmarkApplyRenewals(b *testing.B) {
	const targets = 900
	w := newSimulation(0, 1, 2, targets, 3)
	w.shareViews()
	responder, requester := w.nodes[0].core, w.nodes[1].core
	for i, e := range responder.presentNow(w.now).list {
		responder.renew(w.now, e, w.now.Add(time.Duration(i%2)*time.Second-2*time.Second))
		requester.renew(w.now, requester.targets[e.status.Id], w.now.Add(-1500*time.Millisecond))
	}
	listed := requester.presentNow(w.now)
	r := responder.renewals(w.now, requester.self.status.Id, listed.digests(), targets)
	b.ReportAllocs()
	for b.Loop() {
		requester.applyRenewals(w.now, r, w.now, listed.list)
	}
}
