package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// disturbance is a fault or a membership change that is injected at random.
type disturbance struct {
	name  string
	start func(sim *simulation, h *simHost)
}

func disturbances() []disturbance {
	all := []disturbance{
		{"add replica", func(sim *simulation, _ *simHost) { addSpare(sim, false) }},
		{"remove replica", func(sim *simulation, _ *simHost) {
			spare, leader := sim.spare(), sim.leader()
			if leader != nil && spare.node != nil {
				id := spare.node.id
				leader.change(func(n *Node) membershipEdit { return n.removeEdit(id) })
			}
		}},
	}
	for _, f := range faults {
		all = append(all, disturbance{f.name, func(sim *simulation, h *simHost) {
			if f.name != "lost disk" || sim.toleratesDiskLoss() {
				_ = f.inject(sim, h)
			}
		}})
	}
	return all
}

// toleratesDiskLoss reports whether the cluster tolerates the loss of a disk: all
// members are voters with their directories intact, and no membership change is in
// progress.
func (sim *simulation) toleratesDiskLoss() bool {
	leader := sim.leader()
	if leader == nil {
		return false
	}
	membership, committed := leader.node.core.Membership()
	for _, m := range membership.Members {
		h := sim.host(m.Addr)
		if m.Learner || h.node == nil || h.node.id != m.Id {
			return false
		}
	}
	return committed && len(membership.Members) >= len(sim.founders()) && consensus.FindMember(membership, leader.node.id) != nil
}

// historyTime is the length of one random history in simulated time.
const historyTime = 10 * time.Second

// faultGrid is the interval of the moments at which faults start. It is coarse, so
// that faults often coincide.
const faultGrid = 250 * time.Millisecond

func TestRandomHistories(t *testing.T) {
	histories := 0
	injected := make(map[string]int)
	all := disturbances()
	rapid.Check(t, func(rt *rapid.T) {
		founders := rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "founders")
		sim := newSimulationOf(founders, rapid.Uint64().Draw(rt, "seed"))
		n := rapid.IntRange(0, 16).Draw(rt, "more faults") + 4
		for range n {
			d := all[rapid.IntRange(0, len(all)-1).Draw(rt, "fault")]
			hostIndex := rapid.IntRange(-1, len(sim.hosts)-1).Draw(rt, "site")
			at := rapid.IntRange(0, int(historyTime/faultGrid)).Draw(rt, "at")
			sim.at(time.Duration(at)*faultGrid, func() { sim.inject(d, hostIndex) })
		}
		sim.generateLoad(historyTime)
		sim.runFor(historyTime)
		sim.checkRecovery()
		histories++
		for name, count := range sim.faultCounts {
			injected[name] += count
		}
		injected["acknowledged commands"] += len(sim.acked)
		injected["terms"] += len(sim.leaders)
	})
	t.Logf("%d histories of %v: %v", histories, historyTime, injected)
}

// inject starts a disturbance at the host with this index; -1 selects the current
// leader.
func (sim *simulation) inject(d disturbance, hostIndex int) {
	var h *simHost
	if hostIndex >= 0 {
		h = sim.hosts[hostIndex]
	} else if h = sim.leader(); h == nil {
		return
	}
	if h.node == nil {
		return
	}
	sim.faultCounts[d.name]++
	d.start(sim, h)
}
