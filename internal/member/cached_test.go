package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// restartWithTargets stops all nodes of a simulation that has run and starts them
// again. The first cachingNodes nodes have the addresses of all nodes and the targets
// cached.
func restartWithTargets(w *simulation, cachingNodes int) {
	var addrs []string
	var targets []*pb.TargetStatus
	for _, n := range w.nodes {
		addrs = append(addrs, n.status.PeerAddr)
	}
	for _, t := range w.targets {
		targets = append(targets, withoutLoad(t.status))
	}
	w.cachedPeers = make(map[int][]string)
	w.cachedTargets = make(map[int][]*pb.TargetStatus)
	for _, n := range w.nodes[:cachingNodes] {
		w.cachedPeers[n.index] = addrs
		w.cachedTargets[n.index] = targets
	}
	for _, n := range w.nodes {
		w.start(n)
	}
}

// listedTargets counts the targets that hold a lease at a node.
func listedTargets(w *simulation, n *node) int {
	count := 0
	for _, e := range n.core.targets {
		if n.core.leased(w.now, e) && !e.status.Leaving {
			count++
		}
	}
	return count
}

// TestTargetsAreKnownAfterAReturn restarts all routers at once (the return in its name)
// while no target announces itself. All routers must list all targets within 200 ms,
// though only three have them cached; the targets announce themselves only every 1.2 s.
func TestTargetsAreKnownAfterAReturn(t *testing.T) {
	const (
		routers, targets = 12, 90
		bound            = 200 * time.Millisecond
	)
	w := newSimulation(time.Hour, 3, routers, targets, 3)
	w.intervals = Intervals{TargetLease: 7200 * time.Millisecond, Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond}
	w.syncDatagrams = 16
	w.announceEvery = 1200 * time.Millisecond
	w.run(3 * time.Second)
	restartWithTargets(w, 3)
	for _, each := range w.targets {
		each.silentUntil = w.now.Add(bound)
	}
	w.run(bound)
	for _, n := range w.nodes {
		if got := listedTargets(w, n); got != targets {
			t.Errorf("%s lists %d of %d targets after %v", n.status.Id, got, targets, bound)
		}
	}
}

// TestRememberedTargetsThatAreGone loads cached (remembered) targets of which some
// ended while all routers were down. A target without any message must be listed for
// cachedLease and no longer. A target that announces a new incarnation, or that it
// leaves, must be treated as announced and not as cached.
func TestRememberedTargetsThatAreGone(t *testing.T) {
	now := time.Unix(1000, 0)
	status := func(id string) *pb.TargetStatus {
		return &pb.TargetStatus{Id: id, Incarnation: 5, Sequence: 9, Addr: "10.0.0.1:80", Service: "s"}
	}
	w := newSimulation(time.Hour, 1, 1, 0, 1)
	n := w.nodes[0]
	w.now = now
	w.cachedTargets = map[int][]*pb.TargetStatus{0: {status("silent"), status("returns"), status("leaves"), status("again")}}
	w.intervals = Intervals{TargetLease: 7200 * time.Millisecond}
	w.start(n)
	if got := listedTargets(w, n); got != 4 {
		t.Fatalf("%d of 4 targets are listed at the start", got)
	}
	w.run(time.Second)
	renewed, left, next := status("returns"), status("leaves"), status("again")
	renewed.Sequence++
	left.Sequence++
	left.Leaving = true
	next.Incarnation++
	for _, st := range []*pb.TargetStatus{renewed, left, next} {
		if err := n.core.announce(w.now, st, w.now); err != nil {
			t.Error(err)
		}
	}
	if got := listedTargets(w, n); got != 3 {
		t.Errorf("%d targets are listed, want all but the leaving one", got)
	}
	w.run(cachedLease)
	if got := listedTargets(w, n); got != 2 {
		t.Errorf("%d targets are listed after %v, want the two that announced themselves", got, cachedLease)
	}
}

// TestRememberedTargetsThatLeft restarts one router that has a target cached
// (remembered) among others that know that the target has left. The router must learn
// this within 200 ms.
func TestRememberedTargetsThatLeft(t *testing.T) {
	w := newSimulation(time.Hour, 5, 6, 4, 1)
	w.run(3 * time.Second)
	returning, left := w.nodes[0], w.targets[0]
	cached := []*pb.TargetStatus{withoutLoad(left.status)}
	w.leave(left)
	w.run(time.Second)
	w.end(left)
	w.cachedPeers = map[int][]string{0: {w.nodes[1].status.PeerAddr}}
	w.cachedTargets = map[int][]*pb.TargetStatus{0: cached}
	w.start(returning)
	w.run(200 * time.Millisecond)
	for _, n := range w.nodes {
		if e := n.core.targets[left.status.Id]; e != nil && !e.status.Leaving {
			t.Errorf("%s lists a target that left", n.status.Id)
		}
	}
}

// TestAgesAreNeverUnderstated encodes ages within and beyond the range that a byte
// expresses.
func TestAgesAreNeverUnderstated(t *testing.T) {
	now := time.Unix(1000, 0)
	for age := time.Duration(0); age < 8*time.Second; age += 3 * time.Millisecond {
		b := ageByte(now, now.Add(-age))
		if b == unknownAge {
			if age <= 5500*time.Millisecond {
				t.Fatalf("%v can't be expressed", age)
			}
			continue
		}
		if got := ageOf(b); got < age || got-age >= coarseAgeUnit || age <= maxFineUnits*fineAgeUnit && got-age >= fineAgeUnit {
			t.Fatalf("%v became %v", age, got)
		}
	}
	if b := ageByte(now, time.Time{}); b != unknownAge {
		t.Errorf("a target without a proof of life has the age %d", b)
	}
}

// TestReturnOfManyRouters restarts 62 routers and nine replicas at once (the return in
// its name). A replica
// needs 2 ms per message and a router a third of that. All routers must list all
// targets 350 ms later, though at first only replicas know any.
func TestReturnOfManyRouters(t *testing.T) {
	const (
		replicas, routers, targets = 9, 62, 94
		bound                      = 350 * time.Millisecond
	)
	for seed := range uint64(4) {
		w := newSimulation(0, seed, 0, 0, 3)
		w.intervals = Intervals{TargetLease: 7200 * time.Millisecond, Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond}
		w.syncDatagrams = 16
		w.budget = budget.Config{BytesPerSecond: 64 << 10, BurstBytes: 128 << 10}
		w.announceEvery = 1200 * time.Millisecond
		w.populate(replicas+routers, targets, 3)
		for i, n := range w.nodes {
			n.status.Replica = i < replicas
		}
		restartWithTargets(w, replicas)
		w.messageCost = func(n *node) time.Duration {
			if n.status.Replica {
				return 2 * time.Millisecond
			}
			return 700 * time.Microsecond
		}
		for _, each := range w.targets {
			each.silentUntil = w.now.Add(bound)
		}
		w.run(bound)
		late := 0
		for _, n := range w.nodes[replicas:] {
			if listedTargets(w, n) < targets {
				late++
			}
		}
		if late > 0 {
			t.Errorf("seed %d: %d of %d routers lack targets after %v", seed, late, routers, bound)
		}
	}
}

// TestSavedNotices restarts all routers at once after a target has left. All of them have the
// target cached and one has the notice saved. Within the time for which a leaving target may still
// get requests no router may list it any more; a target that left in an earlier incarnation must
// be listed.
func TestSavedNotices(t *testing.T) {
	const nodes, bound = 12, 2 * time.Second
	w := newSimulation(time.Hour, 7, nodes, 20, 2)
	w.intervals = Intervals{TargetLease: 7200 * time.Millisecond, Sync: 200 * time.Millisecond, Join: 100 * time.Millisecond}
	w.run(3 * time.Second)
	left, again := w.targets[0], w.targets[1]
	w.end(left)
	w.end(again)
	w.cachedNotices = map[int][]*pb.TargetStatus{3: {
		{Id: left.status.Id, Incarnation: left.status.Incarnation, Leaving: true},
		{Id: again.status.Id, Incarnation: again.status.Incarnation - 1, Leaving: true},
	}}
	restartWithTargets(w, nodes)
	w.run(bound)
	for _, n := range w.nodes {
		if e := n.core.targets[left.status.Id]; e != nil && !e.status.Leaving && n.core.leased(w.now, e) {
			t.Errorf("%s lists the target that left", n.status.Id)
		}
		if e := n.core.targets[again.status.Id]; e == nil || e.status.Leaving || !n.core.leased(w.now, e) {
			t.Errorf("%s does not list the target that left in an earlier incarnation", n.status.Id)
		}
	}
}
