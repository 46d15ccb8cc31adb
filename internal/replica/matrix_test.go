package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// matrixFault happens in the midst of a step at a site. It returns an error
// for the file operation under way, if that is what fails.
type matrixFault struct {
	name string
	// at is the file operation of an append at which it strikes.
	at   journaltest.Op
	fire func(w *world, s *site) error
}

// die ends the node where it is and starts it again later.
func die(mode journaltest.Crash) func(*world, *site) error {
	return func(w *world, s *site) error {
		s.onKill = func() { s.crash(mode) }
		w.after(faultTime, s.start)
		panic(errKilled)
	}
}

// faultTime is how long a fault of the matrix lasts.
const faultTime = 3 * time.Second

var matrixFaults = []matrixFault{
	{"kill", journaltest.OpSync, die(journaltest.KeepAll)},
	{"kill with lost unsynced writes", journaltest.OpSync, die(journaltest.LoseUnsynced)},
	{"kill with reordered unsynced writes", journaltest.OpSync, die(journaltest.Reorder)},
	{"torn tail", journaltest.OpSync, die(journaltest.TearTail)},
	{"lost disk", journaltest.OpSync, func(w *world, s *site) error {
		s.onKill = s.loseDisk
		w.after(faultTime, s.start)
		panic(errKilled)
	}},
	{"failed sync", journaltest.OpSync, func(w *world, s *site) error {
		s.fs.Hook = func(op journaltest.Op, _ string) error {
			if op == journaltest.OpSync {
				return journaltest.ErrSync
			}
			return nil
		}
		restartOnce(w, s)
		return journaltest.ErrSync
	}},
	{"full disk", journaltest.OpWrite, func(w *world, s *site) error {
		s.fs.FreeBytes = 20
		restartOnce(w, s)
		return nil
	}},
	{"freeze and thaw", journaltest.OpSync, func(w *world, s *site) error {
		s.thaw = w.now + faultTime
		return nil
	}},
	{"two-way cut", journaltest.OpSync, func(w *world, s *site) error {
		cutFor(w, s, true, true, faultTime)
		return nil
	}},
	{"one-way cut, incoming", journaltest.OpSync, func(w *world, s *site) error {
		cutFor(w, s, true, false, faultTime)
		return nil
	}},
	{"one-way cut, outgoing", journaltest.OpSync, func(w *world, s *site) error {
		cutFor(w, s, false, true, faultTime)
		return nil
	}},
	{"messages late", journaltest.OpSync, func(w *world, s *site) error {
		w.latePct = 50
		w.after(faultTime, func() { w.latePct = 0 })
		return nil
	}},
	{"messages doubled", journaltest.OpSync, func(w *world, s *site) error {
		w.doublePct = 100
		w.after(faultTime, func() { w.doublePct = 0 })
		return nil
	}},
	{"messages reordered", journaltest.OpSync, func(w *world, s *site) error {
		w.latePct, w.lateBy = 100, 40*time.Millisecond
		w.after(faultTime, func() { w.latePct, w.lateBy = 0, 2*time.Second })
		return nil
	}},
}

// matrixStep brings a world to a step and calls fire in its midst, once.
type matrixStep struct {
	name string
	arm  func(w *world, at journaltest.Op, fire func(*site) error)
}

var matrixSteps = []matrixStep{
	{"append at the leader", func(w *world, at journaltest.Op, fire func(*site) error) {
		onLogWrite(w.leader(), at, fire, func(n *Node) bool { return n.core.Status().Last > n.snapshotStatus().Last })
	}},
	{"append at a follower", func(w *world, at journaltest.Op, fire func(*site) error) {
		onLogWrite(w.follower(), at, fire, func(n *Node) bool { return n.core.Status().Last > n.snapshotStatus().Last })
	}},
	{"commit at the leader", func(w *world, _ journaltest.Op, fire func(*site) error) { onCommit(w.leader(), fire) }},
	{"commit at a follower", func(w *world, _ journaltest.Op, fire func(*site) error) { onCommit(w.follower(), fire) }},
	{"apply at the leader", func(w *world, _ journaltest.Op, fire func(*site) error) { onMachine(w.leader(), "apply", fire) }},
	{"apply at a follower", func(w *world, _ journaltest.Op, fire func(*site) error) {
		onMachine(w.follower(), "apply", fire)
	}},
	{"snapshot at the leader", func(w *world, _ journaltest.Op, fire func(*site) error) {
		onMachine(w.leader(), "snapshot", fire)
	}},
	{"snapshot at a follower", func(w *world, _ journaltest.Op, fire func(*site) error) {
		onMachine(w.follower(), "snapshot", fire)
	}},
	{"install snapshot", func(w *world, _ journaltest.Op, fire func(*site) error) {
		s := w.follower()
		s.crash(journaltest.KeepAll)
		w.after(4*time.Second, func() {
			s.start()
			s.fs.Hook = func(op journaltest.Op, name string) error {
				if op != journaltest.OpRename || !strings.HasPrefix(name, "snapshot-") {
					return nil
				}
				s.fs.Hook = nil
				return fire(s)
			}
		})
	}},
	{"add replica, at the leader", func(w *world, _ journaltest.Op, fire func(*site) error) {
		addSpare(w, true)
		onMembership(w.leader(), fire)
	}},
	{"add replica, at the added one", func(w *world, _ journaltest.Op, fire func(*site) error) {
		addSpare(w, true)
		s := w.sites[simFounders]
		onLogWrite(s, journaltest.OpSync, fire, func(n *Node) bool { return true })
	}},
	{"remove replica, at the leader", func(w *world, _ journaltest.Op, fire func(*site) error) {
		addSpare(w, false)
		w.runFor(5 * time.Second)
		id := w.sites[simFounders].node.id
		onMembership(w.leader(), fire)
		leader := w.leader()
		w.after(0, func() { leader.change(func(n *Node) membershipEdit { return n.removal(id) }) })
	}},
	{"elect", func(w *world, at journaltest.Op, fire func(*site) error) {
		old := w.leader()
		old.crash(journaltest.LoseUnsynced)
		for _, s := range w.sites[:simFounders] {
			if s != old {
				onLogWrite(s, at, fire, func(n *Node) bool { return n.core.Role() == consensus.Candidate })
			}
		}
	}},
}

// follower returns a founder's site that does not lead.
func (w *world) follower() *site {
	leader := w.leader()
	for _, s := range w.sites[:simFounders] {
		if s != leader {
			return s
		}
	}
	return nil
}

func onLogWrite(s *site, at journaltest.Op, fire func(*site) error, when func(*Node) bool) {
	s.fs.Hook = func(op journaltest.Op, name string) error {
		if op != at || !strings.HasPrefix(name, "log-") || !when(s.node) {
			return nil
		}
		s.fs.Hook = nil
		return fire(s)
	}
}

func onCommit(s *site, fire func(*site) error) {
	before := s.node.core.Status().Committed
	s.afterPass = func() {
		if s.node.core.Status().Committed > before {
			s.afterPass = nil
			_ = fire(s)
		}
	}
}

func onMachine(s *site, step string, fire func(*site) error) {
	s.machine.hook = func(got string) {
		if got == step {
			s.machine.hook = nil
			_ = fire(s)
		}
	}
}

// onMembership fires once the site has appended a membership that is not
// committed yet.
func onMembership(s *site, fire func(*site) error) {
	s.afterPass = func() {
		if _, committed := s.node.core.Membership(); !committed {
			s.afterPass = nil
			_ = fire(s)
		}
	}
}

// addSpare starts the spare site and asks the leader to admit it.
func addSpare(w *world, later bool) {
	spare, leader := w.sites[simFounders], w.leader()
	spare.start()
	self := spare.node.self()
	ask := func() {
		leader.change(func(n *Node) membershipEdit { return admission(self, n.snapshotStatus().Committed, true) })
	}
	if later {
		w.after(10*time.Millisecond, ask)
		return
	}
	ask()
}

func TestFaultMatrix(t *testing.T) {
	cells := 0
	for _, step := range matrixSteps {
		for i, f := range matrixFaults {
			t.Run(fmt.Sprintf("%s/%s", step.name, f.name), func(t *testing.T) {
				w := newWorld(uint64(1000 + i))
				w.load(20 * time.Second)
				w.runUntil(10*time.Second, func() bool { return w.leader() != nil && len(w.acked) > 50 })
				fired := false
				step.arm(w, f.at, func(s *site) error {
					if fired {
						return nil
					}
					fired = true
					return f.fire(w, s)
				})
				w.runFor(10 * time.Second)
				if !fired {
					t.Fatal("the step was not reached")
				}
				w.settle()
				cells++
			})
		}
	}
	t.Logf("%d cells of %d steps and %d faults ran", cells, len(matrixSteps), len(matrixFaults))
}
