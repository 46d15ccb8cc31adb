package member

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

const (
	// newWorkBound is the time after which a target that leaves or ended gets no new
	// work from any router.
	newWorkBound = 3 * time.Second
	// agreementBound is the time after the last fault by which views agree.
	agreementBound = 12 * time.Second
	checkEvery     = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	testseed.Fix(20261203, 0)
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// watcher checks after each step of a node that no dead generation of a router and no
// ended incarnation of a target returns.
type watcher struct {
	deadGeneration map[string]uint64
	endedTarget    map[string]uint64
}

func (s *watcher) observe(t *rapid.T, n *node) {
	for id, e := range n.core.routers {
		if e.state == dead {
			s.deadGeneration[id] = max(s.deadGeneration[id], e.generation)
		} else if e.generation <= s.deadGeneration[id] {
			t.Fatalf("%s: dead generation %d of %s returned", n.status.Id, e.generation, id)
		}
	}
	for id, e := range n.core.targets {
		if e.status.Leaving {
			s.endedTarget[id] = max(s.endedTarget[id], e.status.Incarnation)
		} else if e.status.Incarnation <= s.endedTarget[id] {
			t.Fatalf("%s: ended incarnation %d of %s returned", n.status.Id, e.status.Incarnation, id)
		}
	}
}

// runChecked runs the simulation and checks that no router, whether partitioned or just
// resumed from a pause, offers a target for new work after newWorkBound.
func runChecked(t *rapid.T, w *simulation, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(min(checkEvery, end.Sub(w.now)))
		for _, n := range w.nodes {
			if !n.running {
				continue
			}
			for _, st := range n.core.targetView(w.now).targets {
				checkNewWork(t, w, n, st.Id, st.Incarnation, st.Leaving)
			}
		}
	}
}

func checkNewWork(t *rapid.T, w *simulation, n *node, id string, incarnation uint64, leaving bool) {
	for _, target := range w.targets {
		endedAt, ended := target.ended[incarnation]
		if target.status.Id != id || leaving || !ended {
			continue
		}
		if late := w.now.Sub(endedAt); late > newWorkBound {
			t.Fatalf("%s offers %s for new work %v after its end", n.status.Id, id, late)
		}
	}
}

// disagreement returns the first difference between a node's view and the running
// routers and targets, or "".
func (w *simulation) disagreement() string {
	var routers, targets []string
	for _, n := range w.nodes {
		if n.running {
			routers = append(routers, fmt.Sprint(n.status.Id, " ", n.status.Incarnation))
		}
	}
	for _, target := range w.targets {
		if target.running && target.leftAt.IsZero() {
			targets = append(targets, fmt.Sprint(target.status.Id, " ", target.status.Incarnation))
		}
	}
	slices.Sort(routers)
	slices.Sort(targets)
	for _, n := range w.nodes {
		if !n.running {
			continue
		}
		var haveRouters, haveTargets []string
		for _, r := range n.core.routerView().routers {
			haveRouters = append(haveRouters, fmt.Sprint(r.Id, " ", r.Incarnation))
		}
		for _, st := range n.core.targetView(w.now).targets {
			if !st.Leaving {
				haveTargets = append(haveTargets, fmt.Sprint(st.Id, " ", st.Incarnation))
			}
		}
		slices.Sort(haveRouters)
		slices.Sort(haveTargets)
		if !slices.Equal(haveRouters, routers) {
			return fmt.Sprintf("%s knows routers %v, running are %v", n.status.Id, haveRouters, routers)
		}
		if !slices.Equal(haveTargets, targets) {
			return fmt.Sprintf("%s knows targets %v, running are %v", n.status.Id, haveTargets, targets)
		}
	}
	return ""
}

// fault starts or ends one random fault.
func (w *simulation) fault(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "router")
	other := rapid.SampledFrom(w.nodes).Draw(t, "other")
	target := rapid.SampledFrom(w.targets).Draw(t, "target")
	switch rapid.SampledFrom([]string{
		"crash", "restart", "leave", "freeze", "thaw", "cut off", "reconnect", "one-way cut", "cut", "heal", "slow network",
		"target ends", "target leaves", "target restarts", "target flaps",
	}).Draw(t, "fault") {
	case "crash":
		n.running = false
	case "restart":
		w.start(n)
	case "leave":
		w.deliver(n, n.core, func() { n.core.leave(w.now) })
		n.running = false
	case "freeze":
		n.paused = n.running
	case "thaw":
		w.resume(n)
	case "cut off":
		n.cutOff = true
	case "reconnect":
		n.cutOff = false
	case "one-way cut":
		w.cutLinks[[2]int{n.index, other.index}] = true
	case "cut":
		w.cutLinks[[2]int{n.index, other.index}] = true
		w.cutLinks[[2]int{other.index, n.index}] = true
	case "heal":
		clear(w.cutLinks)
	case "slow network":
		w.maxDelay = time.Duration(rapid.IntRange(3, 1500).Draw(t, "delay ms")) * time.Millisecond
	case "target ends":
		w.end(target)
	case "target leaves":
		w.leave(target)
	case "target restarts":
		w.end(target)
		w.restart(target)
	case "target flaps":
		// The target is silent for longer than its lease and returns unchanged.
		target.silentUntil = w.now.Add(3 * time.Second)
	}
}

func (w *simulation) healAll() {
	clear(w.cutLinks)
	w.lossRate, w.maxDelay = 0, defaultMaxDelay
	for _, n := range w.nodes {
		n.cutOff = false
		if !n.running {
			w.start(n)
		}
		if n.paused {
			w.resume(n)
		}
	}
	for _, target := range w.targets {
		target.silentUntil = time.Time{}
	}
}

func newRandomSimulation(t *rapid.T) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	w := newSimulation(0, seed, rapid.IntRange(2, 9).Draw(t, "routers"), rapid.IntRange(1, 15).Draw(t, "targets"), 3)
	watchers := make(map[*core]*watcher)
	w.onStep = func(n *node) {
		if watchers[n.core] == nil {
			watchers[n.core] = &watcher{deadGeneration: map[string]uint64{}, endedTarget: map[string]uint64{}}
		}
		watchers[n.core].observe(t, n)
	}
	return w
}

// TestFaults injects random faults, alone and combined: nothing dead returns, a target
// that leaves or ended gets no new work after the bound, the budget holds, and views
// agree again within the bound after the last fault.
func TestFaults(t *testing.T) {
	worst := time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomSimulation(t)
		w.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		runChecked(t, w, 3*time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.fault(t)
			if rapid.Bool().Draw(t, "together") {
				w.fault(t)
			}
			runChecked(t, w, time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause ms"))*time.Millisecond)
		}
		w.healAll()
		healed := w.now
		agreed := time.Duration(-1)
		for w.now.Sub(healed) < agreementBound {
			runChecked(t, w, 250*time.Millisecond)
			if w.disagreement() != "" {
				agreed = -1
			} else if agreed < 0 {
				agreed = w.now.Sub(healed)
			}
		}
		if agreed < 0 {
			t.Fatalf("%v after the last fault: %s", agreementBound, w.disagreement())
		}
		worst = max(worst, agreed)
	})
	t.Logf("views agreed at the latest %v after the last fault", worst)
}

// TestCutOffRoutersStopUsingTargets partitions some routers from the others and from
// all targets: they stop offering a target that leaves, and in the end offer none.
func TestCutOffRoutersStopUsingTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomSimulation(t)
		runChecked(t, w, 5*time.Second)
		// The routers of the cut-off side reach each other, but no target.
		side := rapid.IntRange(1, len(w.nodes)-1).Draw(t, "cut off")
		for _, a := range w.nodes[:side] {
			for _, b := range w.nodes[side:] {
				w.cutLinks[[2]int{a.index, b.index}] = true
				w.cutLinks[[2]int{b.index, a.index}] = true
			}
		}
		for _, target := range w.targets {
			if target.router < side {
				target.router, target.ackedAt = side, time.Time{}
			}
			target.reachable = [2]int{side, len(w.nodes)}
		}
		runChecked(t, w, time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms until leave"))*time.Millisecond)
		for _, target := range w.targets {
			w.leave(target)
		}
		runChecked(t, w, newWorkBound+time.Second)
		for _, n := range w.nodes[:side] {
			if left := n.core.targetView(w.now).targets; len(left) > 0 {
				t.Fatalf("%s still knows %v", n.status.Id, left)
			}
		}
	})
}

// TestPausedRouter pauses a router while targets end: it does not offer them
// afterwards, though its buffers hold announcements and replies from before.
func TestPausedRouter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomSimulation(t)
		w.maxDelay = 100 * time.Millisecond
		runChecked(t, w, 5*time.Second)
		paused := w.nodes[0]
		for _, target := range w.targets {
			target.router, target.ackedAt = 0, time.Time{}
		}
		runChecked(t, w, time.Second)
		paused.paused = true
		runChecked(t, w, 600*time.Millisecond)
		for _, target := range w.targets {
			w.leave(target)
			w.end(target)
		}
		runChecked(t, w, time.Duration(rapid.IntRange(0, 10000).Draw(t, "pause ms"))*time.Millisecond)
		w.resume(paused)
		runChecked(t, w, 5*time.Second)
	})
}

// TestPauseWhileSuspecting pauses a router while it suspects others: it declares none
// of them dead, since they get the full time to refute after the pause.
func TestPauseWhileSuspecting(t *testing.T) {
	w := newSimulation(10*time.Second, 1, 9, 15, 3)
	w.run(10 * time.Second)
	paused := w.nodes[0]
	paused.cutOff = true
	w.run(900 * time.Millisecond)
	if paused.core.counts.suspicions == 0 {
		t.Fatal("the partitioned router suspected no router")
	}
	paused.cutOff, paused.paused = false, true
	w.run(5 * time.Second)
	w.resume(paused)
	w.run(5 * time.Second)
	if n := paused.core.counts.deaths; n > 0 {
		t.Fatalf("the paused router declared others dead %d times", n)
	}
}

// TestCutBetweenTwoRouters cuts the link between two routers that all others reach, in
// one and in both directions: no router is suspected.
func TestCutBetweenTwoRouters(t *testing.T) {
	for _, directions := range [][][2]int{{{0, 1}}, {{0, 1}, {1, 0}}} {
		w := newSimulation(10*time.Second, 1, 9, 15, 3)
		w.run(10 * time.Second)
		for _, d := range directions {
			w.cutLinks[d] = true
		}
		w.run(30 * time.Second)
		for _, n := range w.nodes {
			if n.core.counts.suspicions > 0 {
				t.Fatalf("%s suspected others %d times", n.status.Id, n.core.counts.suspicions)
			}
		}
		if diff := w.disagreement(); diff != "" {
			t.Fatal(diff)
		}
	}
}

// TestRestartWithForerunnersGeneration restarts a process with the generation that its
// predecessor took when it refuted its death: the new process replaces the old one,
// whatever the versions are.
func TestRestartWithForerunnersGeneration(t *testing.T) {
	w := newSimulation(0, 1, 1, 0, 1)
	c := w.nodes[0].core
	for _, incarnation := range []uint64{1, 2, 1} {
		c.mergeRouter(w.now, &pb.RouterDelta{Generation: 2, Status: &pb.RouterStatus{Id: "x", Incarnation: incarnation, Version: 5}})
	}
	if got := c.routers["x"].status.Incarnation; got != 2 {
		t.Fatalf("incarnation %d is stored, want 2", got)
	}
	own := c.self.generation
	c.mergeRouter(w.now, &pb.RouterDelta{Generation: own, Status: &pb.RouterStatus{Id: c.self.status.Id, Incarnation: 1, Version: 1}})
	if c.self.generation == own {
		t.Fatal("the router kept the generation of its predecessor")
	}
}

// TestSlowProbesAreNoPause probes at the slowest pace, with timers that fire a little
// late: this does not count as a pause, and suspected routers are still declared dead.
func TestSlowProbesAreNoPause(t *testing.T) {
	w := newSimulation(0, 1, 1, 0, 1)
	c := w.nodes[0].core
	c.mergeRouter(w.now, &pb.RouterDelta{Generation: 1, Suspect: true, Status: &pb.RouterStatus{Id: "x"}})
	for end := w.now.Add(4 * c.suspectTimeout()); w.now.Before(end); {
		w.now = w.now.Add(maxProbeInterval + 10*time.Millisecond)
		c.tick(w.now)
	}
	if c.routers["x"].state != dead {
		t.Fatal("a suspicion never ended")
	}
}

// TestLeavingIsToldToAll has several targets leave at the same time: every other router
// is notified of all of them within 100 ms, with at most one datagram per router, and
// once more in case datagrams were lost.
func TestLeavingIsToldToAll(t *testing.T) {
	const routers, targets = 92, 5
	start := time.Unix(1000, 0)
	c := newCore(coreConfig{
		self:  &pb.RouterStatus{Id: "r0", Incarnation: 1, PeerAddr: "10.0.0.0:1"},
		rng:   rand.New(rand.NewPCG(1, 1)),
		allow: func(time.Time, budget.Class, int) bool { return true },
		rate:  1 << 20,
	}, start)
	for i := range routers - 1 {
		st := &pb.RouterStatus{Id: fmt.Sprint("r", i+1), Incarnation: 1, PeerAddr: fmt.Sprintf("10.0.1.%d:1", i)}
		c.mergeRouter(start, &pb.RouterDelta{Status: st, Generation: 1})
	}
	for i := range targets {
		st := &pb.TargetStatus{Id: fmt.Sprint("t", i), Incarnation: 1, Sequence: 1, Addr: "10.0.2.1:1", Service: "s"}
		if err := c.announce(start, st, start); err != nil {
			t.Fatal(err)
		}
	}
	c.drainPackets()
	for i := range targets {
		id := fmt.Sprint("t", i)
		c.applyStatus(start, &pb.TargetStatus{Id: id, Incarnation: 1, Leaving: true})
		c.scheduleLeavingUpdate(start, id)
	}
	for _, from := range []time.Duration{0, leavingRepeat} {
		informed := make(map[string]map[string]bool)
		datagrams := 0
		for at := from; at <= from+100*time.Millisecond; at += 10 * time.Millisecond {
			c.tick(start.Add(at))
			for _, p := range c.drainPackets() {
				if p.msg.Kind != pb.GossipKind_GOSSIP_KIND_UPDATE {
					continue
				}
				datagrams++
				for _, d := range p.msg.Targets {
					if informed[d.Status.Id] == nil {
						informed[d.Status.Id] = make(map[string]bool)
					}
					informed[d.Status.Id][p.to] = d.Status.Leaving
				}
			}
		}
		for i := range targets {
			if got := len(informed[fmt.Sprint("t", i)]); got != routers-1 {
				t.Errorf("from %v: %d routers were notified of t%d, want %d", from, got, i, routers-1)
			}
		}
		if datagrams > routers-1 {
			t.Errorf("from %v: %d datagrams for %d routers", from, datagrams, routers-1)
		}
	}
}

// TestLapsesAreReported has a target fall silent: one event is recorded when its lease
// expires and one when it announces itself again, with the age of the last proof of
// life.
func TestLapsesAreReported(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := newCore(coreConfig{
		self:  &pb.RouterStatus{Id: "r1", Incarnation: 1, PeerAddr: "10.0.0.1:1"},
		rng:   rand.New(rand.NewPCG(1, 1)),
		allow: func(time.Time, budget.Class, int) bool { return true },
	}, now)
	announce := func(sequence uint64) {
		err := c.announce(now, &pb.TargetStatus{Id: "t", Incarnation: 1, Sequence: sequence, Addr: "10.0.0.2:1"}, now)
		if err != nil {
			t.Fatal(err)
		}
	}
	run := func(d time.Duration) []string {
		var seen []string
		for end := now.Add(d); now.Before(end); now = now.Add(DefaultProbeInterval) {
			c.tick(now)
			for _, e := range c.drainEvents() {
				if e.text != eventTargetAppeared {
					seen = append(seen, e.text)
				}
				if e.text == eventTargetExpired && e.age < DefaultTargetLease {
					t.Errorf("lease expired %v after the last proof", e.age)
				}
			}
		}
		return seen
	}
	announce(1)
	if got := run(DefaultTargetLease / 2); len(got) > 0 {
		t.Errorf("events while leased: %v", got)
	}
	if got := run(2 * DefaultTargetLease); !slices.Equal(got, []string{eventTargetExpired}) {
		t.Errorf("events of a silent target: %v", got)
	}
	announce(2)
	if got := run(DefaultTargetLease / 2); !slices.Equal(got, []string{eventTargetRenewed}) {
		t.Errorf("events of its return: %v", got)
	}
}

// TestNewsOfTargetsUnderOtherNews guards against updates of leaving targets being
// delayed by other updates. In a fleet of 92 routers, each router's own status changes
// twice a second while targets come and leave, and the direct notices of leaving
// targets are lost: each router must learn of them by gossip within the 2 s that the
// platform gives. Changes of the routing table number are not queued as updates, so new
// targets must become known within that time too.
func TestNewsOfTargetsUnderOtherNews(t *testing.T) {
	t.Run("tables", func(t *testing.T) {
		replayTurnover(t, true, func(c *core, n uint64) { c.setRoutingTable(n) })
	})
	t.Run("states", func(t *testing.T) {
		replayTurnover(t, false, func(c *core, n uint64) {
			c.setState([]pb.RouterState{pb.RouterState_ROUTER_STATE_SERVING, pb.RouterState_ROUTER_STATE_UNLEASED}[n%2])
		})
	})
}

// replayTurnover has a target leave and another one start every 200 ms for 12 s. It
// calls change at each router twice a second; with checkNew, new targets must become
// known in time.
func replayTurnover(t *testing.T, checkNew bool, change func(c *core, n uint64)) {
	const (
		routers, targets = 92, 60
		bound            = 2 * time.Second
	)
	w := newSimulation(time.Hour, 1, routers, targets, 4)
	w.shareViews()
	w.run(3 * time.Second)
	changes := uint64(1)
	var changeAll func()
	changeAll = func() {
		changes++
		for _, n := range w.nodes {
			w.after(time.Duration(w.rng.IntN(100))*time.Millisecond, func() { change(n.core, changes) })
		}
		w.after(500*time.Millisecond, changeAll)
	}
	w.after(0, changeAll)
	for i := range targets {
		w.after(time.Second+time.Duration(i)*200*time.Millisecond, func() {
			left := w.targets[i].status
			w.targets[i].running = false
			w.nodes[w.rng.IntN(routers)].core.applyStatus(w.now, &pb.TargetStatus{Id: left.Id, Incarnation: left.Incarnation, Leaving: true})
			w.after(bound, func() { w.checkLeft(t, left) })
			if added := w.addTarget(1000+i, 4).status; checkNew {
				w.after(announceEvery+bound, func() { w.checkKnown(t, added) })
			}
		})
	}
	w.run(17 * time.Second)
}

func (w *simulation) checkLeft(t *testing.T, st *pb.TargetStatus) {
	for _, n := range w.nodes {
		if past, known := n.core.history.get(st.Id); !known || !past.left {
			t.Errorf("%s does not know that %s leaves", n.status.Id, st.Id)
		}
	}
}

func (w *simulation) checkKnown(t *testing.T, st *pb.TargetStatus) {
	for _, n := range w.nodes {
		if n.core.targets[st.Id] == nil {
			t.Errorf("%s does not know %s", n.status.Id, st.Id)
		}
	}
}

// TestTableNumbersReachOthers activates a new routing table at all but one of 92
// routers: that router must learn the number within a second from the other routers'
// own messages.
func TestTableNumbersReachOthers(t *testing.T) {
	w := newSimulation(time.Hour, 1, 92, 10, 4)
	w.shareViews()
	w.run(3 * time.Second)
	for number := uint64(1); number <= 5; number++ {
		missed := w.nodes[int(number)*7]
		for _, n := range w.nodes {
			if n != missed {
				n.core.setRoutingTable(number)
			}
		}
		w.run(time.Second)
		known := 0
		for _, r := range missed.core.routerView().routers {
			if r.RoutingTable == number {
				known++
			}
		}
		if known == 0 {
			t.Errorf("table %d: the router that missed it knows no router that has it", number)
		}
		missed.core.setRoutingTable(number)
	}
}
