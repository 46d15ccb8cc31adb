package replica

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// repairSteps is the number of passes of the repaired node after its admission at
// which a second loss is tested, one per simulation. They extend past its
// promotion to voter.
const repairSteps = 60

// startRepair empties the directory of a follower a under load and restarts it. It
// returns a and the other follower b.
func startRepair(seed uint64) (sim *simulation, a, b *simHost) {
	sim = newSimulation(seed)
	sim.generateLoad(12 * time.Second)
	sim.runUntil(10*time.Second, func() bool { return sim.leader() != nil && len(sim.acked) > 150 })
	a = sim.follower()
	for _, h := range sim.founders() {
		if h != a && h != sim.leader() {
			b = h
		}
	}
	a.loseDisk()
	sim.runFor(200 * time.Millisecond)
	a.start()
	return sim, a, b
}

// afterPasses calls fn after n passes of the host, counted from its admission.
func afterPasses(h *simHost, n int, fn func()) {
	h.afterPass = func() {
		if !h.sim.admitted(h) {
			return
		}
		if n--; n < 0 {
			h.afterPass = nil
			fn()
		}
	}
}

// admitted reports whether the leader's membership contains the host's replica ID.
func (sim *simulation) admitted(h *simHost) bool {
	leader := sim.leader()
	if leader == nil {
		return false
	}
	membership, _ := leader.node.core.Membership()
	return consensus.FindMember(membership, h.node.id) != nil
}

// TestSecondReplicaStopsAtEveryStepOfARepair crashes a second of three replicas
// while the first is being repaired after the loss of its disk. The cluster must
// recover without the loss of an acknowledged command.
func TestSecondReplicaStopsAtEveryStepOfARepair(t *testing.T) {
	for step := range repairSteps {
		sim, a, b := startRepair(7)
		reached := false
		afterPasses(a, step, func() {
			reached = true
			sim.after(0, func() { b.crash(journaltest.LoseUnsynced) })
			sim.after(5*time.Second, b.start)
		})
		sim.runFor(10 * time.Second)
		if !reached {
			t.Fatalf("the simulation did not reach step %d of the repair", step)
		}
		sim.checkRecovery()
	}
}

// TestSecondReplicaLosesItsDiskAtEveryStepOfARepair loses a second of three disks
// while the first lost one is being repaired. Negative steps are moments before the
// repaired replica is admitted. Before the admission is committed the cluster may
// lose its quorum, but no acknowledged command; afterwards it must recover.
func TestSecondReplicaLosesItsDiskAtEveryStepOfARepair(t *testing.T) {
	const stepsBeforeAdmission = 8
	recovered, stalled := 0, 0
	for step := -stepsBeforeAdmission; step < repairSteps; step++ {
		sim, a, b := startRepair(7)
		survivor := sim.leader()
		admitted := false
		lose := func() {
			_, committed := survivor.node.core.Membership()
			admitted = committed && sim.admitted(a)
			sim.after(0, b.loseDisk)
			sim.after(5*time.Second, b.start)
		}
		if step < 0 {
			sim.after(time.Duration(stepsBeforeAdmission+step)*joinInterval/stepsBeforeAdmission, lose)
		} else {
			afterPasses(a, step, lose)
		}
		sim.runFor(10 * time.Second)
		if admitted && sim.leader() == nil {
			t.Fatalf("step %d: no leader although the repaired replica was admitted", step)
		}
		if sim.leader() != nil {
			recovered++
			sim.checkRecovery()
			continue
		}
		// Two of three disks were lost before the admission of the repaired
		// replica was committed. The third still holds all acknowledged commands,
		// and the other two commit nothing by themselves.
		stalled++
		ackedBefore := len(sim.acked)
		sim.runFor(10 * time.Second)
		if len(sim.acked) != ackedBefore {
			t.Fatalf("step %d: a minority committed commands: %s", step, sim.describe())
		}
		sim.checkAcked(survivor)
	}
	t.Logf("the cluster recovered from a loss at %d steps; it stalled without losing a command at %d", recovered, stalled)
	if recovered == 0 || stalled == 0 {
		t.Fatal("the steps do not include moments both before and after the admission")
	}
}

// TestLeaderIsolatedForLong cuts the leader off for a minute, in both directions or
// in one. The isolated leader must lose its lease and refuse proposals, and the
// other replicas must continue to commit.
func TestLeaderIsolatedForLong(t *testing.T) {
	for _, cut := range []struct{ in, out bool }{{true, true}, {true, false}, {false, true}} {
		t.Run(fmt.Sprintf("in=%v out=%v", cut.in, cut.out), func(t *testing.T) {
			sim := newSimulation(3)
			sim.runUntil(10*time.Second, func() bool { return sim.leader() != nil })
			old := sim.leader()
			cutFor(sim, old, cut.in, cut.out, time.Minute)
			sim.runFor(electionTicks * defaultTickInterval)
			sim.generateLoad(sim.now + 50*time.Second)
			before := len(sim.acked)
			sim.runUntil(50*time.Second, func() bool {
				if _, _, ok := old.node.LeaderLease(); ok {
					t.Fatal("the isolated leader still holds the lease")
				}
				return false
			})
			if n := len(sim.acked) - before; n < 500 {
				t.Fatalf("only %d commands were acknowledged while the old leader was isolated", n)
			}
			c := &pendingCall{data: "isolated", done: make(chan outcome, 1)}
			old.runPass(func(n *Node) { n.handleProposals(&proposal{data: []byte(c.data), done: c.done}) })
			if o := <-c.done; !errors.Is(o.err, ErrNotLeader) {
				t.Fatalf("the isolated leader returned %v", o.err)
			}
			sim.runFor(10 * time.Second)
			sim.checkRecovery()
		})
	}
}

// threeRoles returns a leader that holds the lease and its two followers.
func threeRoles(sim *simulation) (leader, first, second *simHost) {
	sim.runUntil(10*time.Second, func() bool { return sim.leader() != nil })
	leader = sim.leader()
	for _, h := range sim.founders() {
		switch {
		case h == leader:
		case first == nil:
			first = h
		default:
			second = h
		}
	}
	return leader, first, second
}

// TestOnlyOneLeaderActsBehindACutLink cuts the link between the leader and one
// follower whose log is up to date. The other follower must not vote for this one
// while heartbeats of the leader arrive, nor after a quick restart, since the leader
// still holds its lease. The simulation checks this at each election.
func TestOnlyOneLeaderActsBehindACutLink(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed)
		leader, cut, other := threeRoles(sim)
		sim.runFor(time.Second)
		cutLink(sim, leader, cut)
		sim.runFor(4 * time.Second)
		if sim.leader() != leader {
			t.Fatalf("seed %d: a leader with a quorum lost its leadership", seed)
		}
		for range 10 {
			other.crash(journaltest.KeepAll)
			other.start()
			sim.runFor(electionTicks / 2 * defaultTickInterval)
		}
		sim.checkRecovery()
	}
}

// TestLateAnswersExtendNoPeriod checks that late acknowledgements do not extend the
// leader lease. The leader reaches one follower, whose acknowledgements are delayed.
// Then the leader's outgoing messages are dropped, so that the followers elect
// another leader while old acknowledgements still arrive.
func TestLateAnswersExtendNoPeriod(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed)
		leader, cut, other := threeRoles(sim)
		cutLink(sim, leader, cut)
		sim.slow[[2]string{other.addr, leader.addr}] = time.Duration(seed+1) * 100 * time.Millisecond
		sim.runFor(3 * time.Second)
		cutFor(sim, leader, false, true, 4*time.Second)
		sim.runFor(4 * time.Second)
		sim.checkRecovery()
	}
}

// TestThawedLeaderFindsItsPeriodOver checks that a leader that was frozen for longer
// than its lease holds no lease when it continues, before it has run a pass.
func TestThawedLeaderFindsItsPeriodOver(t *testing.T) {
	sim := newSimulation(5)
	sim.runUntil(10*time.Second, func() bool { return sim.leader() != nil })
	old := sim.leader()
	old.frozenUntil = sim.now + 2*time.Second
	sim.now = old.frozenUntil
	if until, _, ok := old.node.LeaderLease(); ok {
		t.Fatalf("a leader that was frozen for 2s holds a lease until %v, now is %v", until, old.clock())
	}
}

// TestLeaderActsOnlyAfterItsFirstOwnEntryIsApplied guards against a new leader that
// acts on a state without all entries that earlier leaders committed.
func TestLeaderActsOnlyAfterItsFirstOwnEntryIsApplied(t *testing.T) {
	sim := newSimulation(6)
	sim.runUntil(10*time.Second, func() bool {
		for _, h := range sim.founders() {
			st := h.node.currentStatus()
			_, _, ok := h.node.LeaderLease()
			if ok && (st.Role != consensus.Leader || st.Applied < h.node.core.FirstIndexOfTerm()) {
				t.Fatalf("%s holds the lease at applied index %d, before its first own entry", h.addr, st.Applied)
			}
		}
		return sim.leader() != nil
	})
}
