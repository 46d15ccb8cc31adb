package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// disturbance is a random fault or a change of the membership.
type disturbance struct {
	name  string
	start func(w *simulation, s *simHost)
}

func disturbances() []disturbance {
	all := []disturbance{
		{"add replica", func(w *simulation, _ *simHost) { addSpare(w, false) }},
		{"remove replica", func(w *simulation, _ *simHost) {
			spare, leader := w.spare(), w.leader()
			if leader != nil && spare.node != nil {
				id := spare.node.id
				leader.change(func(n *Node) membershipEdit { return n.removeEdit(id) })
			}
		}},
	}
	for _, f := range faults {
		all = append(all, disturbance{f.name, func(w *simulation, s *simHost) {
			if f.name != "lost disk" || w.toleratesDiskLoss() {
				_ = f.inject(w, s)
			}
		}})
	}
	return all
}

// toleratesDiskLoss tells whether all members are voters on intact disks, so that one
// may be lost. It says so only if no change of membership is under way.
func (w *simulation) toleratesDiskLoss() bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	membership, committed := leader.node.core.Membership()
	for _, m := range membership.Members {
		s := w.host(m.Addr)
		if m.Learner || s.node == nil || s.node.id != m.Id {
			return false
		}
	}
	return committed && len(membership.Members) >= len(w.founders()) && consensus.FindMember(membership, leader.node.id) != nil
}

// historyTime is the virtual length of one random history.
const historyTime = 10 * time.Second

// faultGrid is coarse, so that faults often coincide.
const faultGrid = 250 * time.Millisecond

func TestRandomHistories(t *testing.T) {
	histories := 0
	injected := make(map[string]int)
	all := disturbances()
	rapid.Check(t, func(rt *rapid.T) {
		founders := rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "founders")
		w := newSimulationOf(founders, rapid.Uint64().Draw(rt, "seed"))
		n := rapid.IntRange(0, 16).Draw(rt, "more faults") + 4
		for range n {
			d := all[rapid.IntRange(0, len(all)-1).Draw(rt, "fault")]
			target := rapid.IntRange(-1, len(w.hosts)-1).Draw(rt, "site")
			at := rapid.IntRange(0, int(historyTime/faultGrid)).Draw(rt, "at")
			w.at(time.Duration(at)*faultGrid, func() { w.inject(d, target) })
		}
		w.generateLoad(historyTime)
		w.runFor(historyTime)
		w.checkRecovery()
		histories++
		for name, count := range w.faultCounts {
			injected[name] += count
		}
		injected["acknowledged commands"] += len(w.acked)
		injected["terms"] += len(w.leaders)
	})
	t.Logf("%d histories of %v: %v", histories, historyTime, injected)
}

// inject starts a fault at a site; -1 stands for the present leader.
func (w *simulation) inject(d disturbance, target int) {
	var s *simHost
	if target >= 0 {
		s = w.hosts[target]
	} else if s = w.leader(); s == nil {
		return
	}
	if s.node == nil {
		return
	}
	w.faultCounts[d.name]++
	d.start(w, s)
}
