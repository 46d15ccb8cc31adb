package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// checkApplied checks that all replicas apply the same entry at an index.
func (sim *simulation) checkApplied(e Entry) {
	got := appliedEntry{e.Term, string(e.Data)}
	first, seen := sim.entries[e.Index]
	if !seen {
		sim.entries[e.Index] = got
		return
	}
	if first != got {
		failf("entry %d was %v when first applied and is now %v", e.Index, first, got)
	}
}

// checkLeader checks that each term has at most one leader, that no leader is
// elected before the lease of an earlier leader has expired, and that no leader
// holds a lease after a leader of a later term did.
func (sim *simulation) checkLeader(h *simHost) {
	status := h.node.currentStatus()
	if status.Role != consensus.Leader {
		return
	}
	known, seen := sim.leaders[status.Term]
	if seen && known != status.ID {
		failf("term %d has leaders %s and %s", status.Term, known, status.ID)
	}
	if !seen {
		sim.leaders[status.Term] = status.ID
		if status.Term > sim.leaseTerm && sim.now < sim.leaseEnd {
			failf("the leader of term %d was elected at %v, but the leader of term %d holds a lease until %v", status.Term, sim.now, sim.leaseTerm, sim.leaseEnd)
		}
	}
	if until, term, ok := h.node.LeaderLease(); ok {
		if end := h.simTime(until); end > sim.leaseEnd {
			sim.leaseEnd, sim.leaseTerm = end, term
		}
		if term < sim.leaseTerm {
			failf("the leader of term %d holds a lease after a leader of term %d did", term, sim.leaseTerm)
		}
	}
}

// propose proposes a new command at a host, unless its node is stopped or frozen.
func (sim *simulation) propose(h *simHost) *pendingCall {
	if h.node == nil || sim.now < h.frozenUntil {
		return nil
	}
	sim.proposed++
	c := &pendingCall{data: fmt.Sprintf("command %d", sim.proposed), done: make(chan outcome, 1)}
	h.runPass(func(n *Node) { n.handleProposals(&proposal{data: []byte(c.data), done: c.done}) })
	sim.pending = append(sim.pending, c)
	return c
}

// read requests a read index from a host. It must cover all commands that were
// acknowledged before.
func (sim *simulation) read(h *simHost) {
	if h.node == nil || sim.now < h.frozenUntil {
		return
	}
	c := &pendingCall{read: make(chan readOutcome, 1), minIndex: sim.ackedIndex}
	h.runPass(func(n *Node) { n.handleReads(&readRequest{done: c.read}) })
	sim.pending = append(sim.pending, c)
}

// collectOutcomes handles the outcomes of pending calls that are available.
func (sim *simulation) collectOutcomes() {
	sim.pending = slices.DeleteFunc(sim.pending, func(c *pendingCall) bool {
		select {
		case o := <-c.done:
			if o.err == nil {
				sim.acked = append(sim.acked, c.data)
				sim.ackedIndex = max(sim.ackedIndex, o.at.Index)
			}
			return true
		case o := <-c.read:
			if o.err == nil && o.at.Index < c.minIndex {
				failf("a read returned index %d, but index %d was acknowledged before", o.at.Index, c.minIndex)
			}
			return true
		default:
			return false
		}
	})
}

// leader returns a host whose node holds the leader lease, nil if there is none.
func (sim *simulation) leader() *simHost {
	for _, h := range sim.hosts {
		if h.node == nil || sim.now < h.frozenUntil {
			continue
		}
		if _, _, ok := h.node.LeaderLease(); ok {
			return h
		}
	}
	return nil
}

// generateLoad proposes commands until end, on average every 20 ms and mostly at
// the leader, and requests some reads.
func (sim *simulation) generateLoad(end time.Duration) {
	if sim.now >= end {
		return
	}
	h := sim.leader()
	if h == nil || sim.r.IntN(10) == 0 {
		h = sim.hosts[sim.r.IntN(len(sim.hosts))]
	}
	sim.propose(h)
	if sim.r.IntN(4) == 0 {
		sim.read(h)
	}
	sim.after(time.Duration(sim.r.Int64N(int64(40*time.Millisecond))), func() { sim.generateLoad(end) })
}

// clearFaults ends all faults and starts the founders that are down.
func (sim *simulation) clearFaults() {
	clear(sim.cut)
	clear(sim.slow)
	sim.dropPct, sim.delayPct, sim.duplicatePct = 0, 0, 0
	for _, h := range sim.hosts {
		h.frozenUntil = 0
		h.fs.Hook = nil
		h.fs.FreeBytes = -1
		h.afterPass = nil
		if h.machine != nil {
			h.machine.hook = nil
		}
	}
	for _, h := range sim.founders() {
		h.start()
	}
}

// recoveryTime bounds the time in which the replicas must converge after the last
// fault.
const recoveryTime = 60 * time.Second

// checkRecovery ends all faults and checks that the replicas converge and that no
// acknowledged command is lost.
func (sim *simulation) checkRecovery() {
	sim.clearFaults()
	if !sim.runUntil(recoveryTime, sim.converged) {
		failf("replicas did not converge within %v after the last fault: %s", recoveryTime, sim.describe())
	}
	for _, h := range sim.hosts {
		if h.node != nil && sim.isMember(h) {
			sim.checkAcked(h)
		}
	}
}

// checkAcked checks that a host has applied every acknowledged command and no
// command twice.
func (sim *simulation) checkAcked(h *simHost) {
	count := make(map[string]int)
	for _, item := range h.machine.items() {
		count[item]++
		if count[item] > 1 {
			failf("%q was applied twice at %s", item, h.addr)
		}
	}
	for _, data := range sim.acked {
		if count[data] == 0 {
			failf("%q was acknowledged but is lost at %s", data, h.addr)
		}
	}
}

func (sim *simulation) isMember(h *simHost) bool {
	leader := sim.leader()
	return leader != nil && consensus.FindMember(leader.node.currentStatus().membership, h.node.id) != nil
}

// converged reports whether there is a leader with a lease that has applied its
// full log, no call is pending, and all members are running voters that have
// applied the same entries.
func (sim *simulation) converged() bool {
	leader := sim.leader()
	if leader == nil {
		return false
	}
	status := leader.node.currentStatus()
	if status.Applied != status.Last || len(sim.pending) > 0 {
		return false
	}
	for _, m := range status.membership.Members {
		h := sim.host(m.Addr)
		if m.Learner || h.node == nil || h.node.id != m.Id || h.node.currentStatus().Applied != status.Applied {
			return false
		}
	}
	return true
}

func (sim *simulation) describe() string {
	text := ""
	for _, h := range sim.hosts {
		if h.node == nil {
			text += fmt.Sprintf("%s down; ", h.addr)
			continue
		}
		st := h.node.currentStatus()
		text += fmt.Sprintf("%s id %s role %d term %d leader %s applied %d committed %d last %d members %v; ",
			h.addr, st.ID, st.Role, st.Term, st.Leader, st.Applied, st.Committed, st.Last, st.membership)
	}
	return text
}
