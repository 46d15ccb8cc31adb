package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// matrixStep is a step of the protocol at which a fault is injected. arm makes the
// simulation call fire while a host executes this step.
type matrixStep struct {
	name string
	arm  func(sim *simulation, at journaltest.Op, fire func(*simHost) error)
}

var matrixSteps = []matrixStep{
	{"append at the leader", func(sim *simulation, at journaltest.Op, fire func(*simHost) error) {
		onLogWrite(sim.leader(), at, fire, func(n *Node) bool { return n.core.Status().Last > n.currentStatus().Last })
	}},
	{"append at a follower", func(sim *simulation, at journaltest.Op, fire func(*simHost) error) {
		onLogWrite(sim.follower(), at, fire, func(n *Node) bool { return n.core.Status().Last > n.currentStatus().Last })
	}},
	{"commit at the leader", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) { onCommit(sim.leader(), fire) }},
	{"commit at a follower", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) { onCommit(sim.follower(), fire) }},
	{"apply at the leader", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		onMachine(sim.leader(), "apply", fire)
	}},
	{"apply at a follower", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		onMachine(sim.follower(), "apply", fire)
	}},
	{"snapshot at the leader", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		onMachine(sim.leader(), "snapshot", fire)
	}},
	{"snapshot at a follower", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		onMachine(sim.follower(), "snapshot", fire)
	}},
	{"install snapshot", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		h := sim.follower()
		h.crash(journaltest.KeepAll)
		sim.after(4*time.Second, func() {
			h.start()
			h.fs.Hook = func(op journaltest.Op, name string) error {
				if op != journaltest.OpRename || !strings.HasPrefix(name, "snapshot-") {
					return nil
				}
				h.fs.Hook = nil
				return fire(h)
			}
		})
	}},
	{"add replica, at the leader", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		addSpare(sim, true)
		onMembership(sim.leader(), fire)
	}},
	{"add replica, at the added one", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		addSpare(sim, true)
		h := sim.spare()
		onLogWrite(h, journaltest.OpSync, fire, func(n *Node) bool { return true })
	}},
	{"remove replica, at the leader", func(sim *simulation, _ journaltest.Op, fire func(*simHost) error) {
		addSpare(sim, false)
		sim.runFor(5 * time.Second)
		id := sim.spare().node.id
		onMembership(sim.leader(), fire)
		leader := sim.leader()
		sim.after(0, func() { leader.change(func(n *Node) membershipEdit { return n.removeEdit(id) }) })
	}},
	{"elect", func(sim *simulation, at journaltest.Op, fire func(*simHost) error) {
		old := sim.leader()
		old.crash(journaltest.LoseUnsynced)
		for _, h := range sim.founders() {
			if h != old {
				onLogWrite(h, at, fire, func(n *Node) bool { return n.core.Role() == consensus.Candidate })
			}
		}
	}},
}

// follower returns the host of a founder that is not the leader.
func (sim *simulation) follower() *simHost {
	leader := sim.leader()
	for _, h := range sim.founders() {
		if h != leader {
			return h
		}
	}
	return nil
}

// onLogWrite calls fire at the next file operation of kind at on a log file for
// which when returns true.
func onLogWrite(h *simHost, at journaltest.Op, fire func(*simHost) error, when func(*Node) bool) {
	h.fs.Hook = func(op journaltest.Op, name string) error {
		if op != at || !strings.HasPrefix(name, "log-") || !when(h.node) {
			return nil
		}
		h.fs.Hook = nil
		return fire(h)
	}
}

// onCommit calls fire after the next pass in which the commit index advances.
func onCommit(h *simHost, fire func(*simHost) error) {
	before := h.node.core.Status().Committed
	h.afterPass = func() {
		if h.node.core.Status().Committed > before {
			h.afterPass = nil
			_ = fire(h)
		}
	}
}

// onMachine calls fire at the host's next call of the state machine named by step.
func onMachine(h *simHost, step string, fire func(*simHost) error) {
	h.machine.hook = func(got string) {
		if got == step {
			h.machine.hook = nil
			_ = fire(h)
		}
	}
}

// onMembership calls fire once the host has appended a membership that is not
// committed yet.
func onMembership(h *simHost, fire func(*simHost) error) {
	h.afterPass = func() {
		if _, committed := h.node.core.Membership(); !committed {
			h.afterPass = nil
			_ = fire(h)
		}
	}
}

// addSpare starts the spare host and requests its admission from the leader, at
// once or after 10 ms.
func addSpare(sim *simulation, delayed bool) {
	spare, leader := sim.spare(), sim.leader()
	spare.start()
	if leader == nil {
		return
	}
	self := spare.node.selfMember()
	requestAdmission := func() {
		leader.change(func(n *Node) membershipEdit { return admitEdit(self, n.currentStatus().Committed, true) })
	}
	if delayed {
		sim.after(10*time.Millisecond, requestAdmission)
		return
	}
	requestAdmission()
}

// TestFaultMatrix injects each fault at each step of the protocol under load. The
// replicas must converge after the fault, and no acknowledged command may be lost.
func TestFaultMatrix(t *testing.T) {
	for _, step := range matrixSteps {
		for i, f := range faults {
			t.Run(fmt.Sprintf("%s/%s", step.name, f.name), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(uint64(1000 + i))
				sim.generateLoad(12 * time.Second)
				sim.runUntil(10*time.Second, func() bool { return sim.leader() != nil && len(sim.acked) > 50 })
				fired := false
				step.arm(sim, f.logOp, func(h *simHost) error {
					if fired {
						return nil
					}
					fired = true
					return f.inject(sim, h)
				})
				sim.runFor(8 * time.Second)
				if !fired {
					t.Fatal("the simulation did not reach the step")
				}
				sim.checkRecovery()
			})
		}
	}
	t.Logf("ran every combination of %d steps and %d faults", len(matrixSteps), len(faults))
}
