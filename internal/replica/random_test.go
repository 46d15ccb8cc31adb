package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// fault is one thing that goes wrong at a site for a while.
type fault struct {
	name  string
	start func(w *world, s *site)
}

// downFor is how long a random fault lasts.
func (w *world) downFor() time.Duration {
	return 50*time.Millisecond + time.Duration(w.r.Int64N(int64(3*time.Second)))
}

// crashFault ends the node and starts it again later.
func crashFault(mode journaltest.Crash) func(*world, *site) {
	return func(w *world, s *site) {
		s.crash(mode)
		w.after(w.downFor(), s.start)
	}
}

// restartOnce starts the site again once its node has ended by itself.
func restartOnce(w *world, s *site) {
	life := s.life
	var check func()
	check = func() {
		if s.life == life && s.node != nil {
			w.after(100*time.Millisecond, check)
			return
		}
		w.after(w.downFor(), s.start)
	}
	check()
}

// cutFor cuts the site's messages in the given directions for a while.
func cutFor(w *world, s *site, in, out bool, d time.Duration) {
	for _, other := range w.sites {
		if in {
			w.cut[[2]string{other.addr, s.addr}] = true
		}
		if out {
			w.cut[[2]string{s.addr, other.addr}] = true
		}
	}
	w.after(d, func() { clear(w.cut) })
}

// cutLink cuts both directions between two sites.
func cutLink(w *world, a, b *site) {
	w.cut[[2]string{a.addr, b.addr}] = true
	w.cut[[2]string{b.addr, a.addr}] = true
}

var faults = []fault{
	{"kill", crashFault(journaltest.KeepAll)},
	{"kill and lose unsynced writes", crashFault(journaltest.LoseUnsynced)},
	{"kill and reorder unsynced writes", crashFault(journaltest.Reorder)},
	{"torn tail", crashFault(journaltest.TearTail)},
	{"lost disk", func(w *world, s *site) {
		if !w.repaired() {
			return
		}
		s.loseDisk()
		w.after(w.downFor(), s.start)
	}},
	{"failed sync", func(w *world, s *site) {
		s.fs.Hook = func(op journaltest.Op, _ string) error {
			if op == journaltest.OpSync {
				return journaltest.ErrSync
			}
			return nil
		}
		restartOnce(w, s)
	}},
	{"full disk", func(w *world, s *site) {
		s.fs.FreeBytes = w.r.IntN(300)
		restartOnce(w, s)
	}},
	{"freeze and thaw", func(w *world, s *site) { s.thaw = w.now + w.downFor() }},
	{"two-way cut", func(w *world, s *site) { cutFor(w, s, true, true, w.downFor()) }},
	{"cut of incoming messages", func(w *world, s *site) { cutFor(w, s, true, false, w.downFor()) }},
	{"cut of outgoing messages", func(w *world, s *site) { cutFor(w, s, false, true, w.downFor()) }},
	{"cut of one link", func(w *world, s *site) {
		cutLink(w, s, w.sites[w.r.IntN(len(w.sites))])
		w.after(w.downFor(), func() { clear(w.cut) })
	}},
	{"one slow link", func(w *world, s *site) {
		link := [2]string{s.addr, w.sites[w.r.IntN(len(w.sites))].addr}
		w.slow[link] = w.downFor()
		w.after(w.downFor(), func() { delete(w.slow, link) })
	}},
	{"lost messages", func(w *world, s *site) { w.dropPct = 30; w.after(w.downFor(), func() { w.dropPct = 0 }) }},
	{"late messages", func(w *world, s *site) { w.latePct = 30; w.after(w.downFor(), func() { w.latePct = 0 }) }},
	{"doubled messages", func(w *world, s *site) { w.doublePct = 50; w.after(w.downFor(), func() { w.doublePct = 0 }) }},
	{"add replica", func(w *world, s *site) {
		spare, leader := w.sites[simFounders], w.leader()
		spare.start()
		if leader != nil && spare.node != nil {
			self := spare.node.self()
			leader.change(func(n *Node) membershipEdit { return admission(self, n.snapshotStatus().Committed, true) })
		}
	}},
	{"remove replica", func(w *world, s *site) {
		spare, leader := w.sites[simFounders], w.leader()
		if leader != nil && spare.node != nil {
			id := spare.node.id
			leader.change(func(n *Node) membershipEdit { return n.removal(id) })
		}
	}},
}

// repaired tells whether all members are voters on intact disks, so that one
// may be lost. It says so only if no change of membership is under way.
func (w *world) repaired() bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	membership, committed := leader.node.core.Membership()
	for _, m := range membership.Members {
		s := w.site(m.Addr)
		if m.Learner || s.node == nil || s.node.id != m.Id {
			return false
		}
	}
	return committed && len(membership.Members) >= simFounders && consensus.FindMember(membership, leader.node.id) != nil
}

// historyTime is the virtual length of one random history.
const historyTime = 10 * time.Second

// faultGrid is coarse, so that faults often coincide.
const faultGrid = 250 * time.Millisecond

func TestRandomHistories(t *testing.T) {
	histories := 0
	injected := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		n := rapid.IntRange(0, 16).Draw(rt, "more faults") + 4
		for range n {
			f := faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")]
			target := rapid.IntRange(-1, len(w.sites)-1).Draw(rt, "site")
			at := rapid.IntRange(0, int(historyTime/faultGrid)).Draw(rt, "at")
			w.at(time.Duration(at)*faultGrid, func() { w.inject(f, target) })
		}
		w.load(historyTime)
		w.runFor(historyTime)
		w.settle()
		histories++
		for name, count := range w.faults {
			injected[name] += count
		}
		injected["acknowledged commands"] += len(w.acked)
		injected["terms"] += len(w.leaders)
	})
	t.Logf("%d histories of %v: %v", histories, historyTime, injected)
}

// inject starts a fault at a site; -1 stands for the present leader.
func (w *world) inject(f fault, target int) {
	var s *site
	if target >= 0 {
		s = w.sites[target]
	} else if s = w.leader(); s == nil {
		return
	}
	if s.node == nil {
		return
	}
	w.faults[f.name]++
	f.start(w, s)
}
