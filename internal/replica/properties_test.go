package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// checkApplied holds every replica to what was first applied at an index.
func (w *simulation) checkApplied(e Entry) {
	got := appliedEntry{e.Term, string(e.Data)}
	first, seen := w.entries[e.Index]
	if !seen {
		w.entries[e.Index] = got
		return
	}
	if first != got {
		failf("entry %d was %v and is now %v", e.Index, first, got)
	}
}

// checkLeader checks one leader a term, and that no leader is elected while an
// earlier one may still act.
func (w *simulation) checkLeader(s *simHost) {
	status := s.node.currentStatus()
	if status.Role != consensus.Leader {
		return
	}
	known, seen := w.leaders[status.Term]
	if seen && known != status.ID {
		failf("term %d has leaders %s and %s", status.Term, known, status.ID)
	}
	if !seen {
		w.leaders[status.Term] = status.ID
		if status.Term > w.leaseTerm && w.now < w.leaseEnd {
			failf("term %d began at %v, the leader of term %d may act until %v", status.Term, w.now, w.leaseTerm, w.leaseEnd)
		}
	}
	if until, term, ok := s.node.LeaderLease(); ok {
		if end := s.simTime(until); end > w.leaseEnd {
			w.leaseEnd, w.leaseTerm = end, term
		}
		if term < w.leaseTerm {
			failf("the leader of term %d acts after term %d did", term, w.leaseTerm)
		}
	}
}

// propose offers a new command to a site whose node runs.
func (w *simulation) propose(s *simHost) *pendingCall {
	if s.node == nil || w.now < s.frozenUntil {
		return nil
	}
	w.proposed++
	c := &pendingCall{data: fmt.Sprintf("command %d", w.proposed), done: make(chan outcome, 1)}
	s.runPass(func(n *Node) { n.handleProposals(&proposal{data: []byte(c.data), done: c.done}) })
	w.pending = append(w.pending, c)
	return c
}

// read asks a site for a read index; its answer must cover all acknowledged
// before.
func (w *simulation) read(s *simHost) {
	if s.node == nil || w.now < s.frozenUntil {
		return
	}
	c := &pendingCall{read: make(chan readOutcome, 1), minIndex: w.ackedIndex}
	s.runPass(func(n *Node) { n.handleReads(&readRequest{done: c.read}) })
	w.pending = append(w.pending, c)
}

// collectOutcomes takes the answers that have come.
func (w *simulation) collectOutcomes() {
	w.pending = slices.DeleteFunc(w.pending, func(c *pendingCall) bool {
		select {
		case o := <-c.done:
			if o.err == nil {
				w.acked = append(w.acked, c.data)
				w.ackedIndex = max(w.ackedIndex, o.at.Index)
			}
			return true
		case o := <-c.read:
			if o.err == nil && o.at.Index < c.minIndex {
				failf("a read was answered at %d, %d was acknowledged before", o.at.Index, c.minIndex)
			}
			return true
		default:
			return false
		}
	})
}

// leader returns a site whose node may act, nil if there is none.
func (w *simulation) leader() *simHost {
	for _, s := range w.hosts {
		if s.node == nil || w.now < s.frozenUntil {
			continue
		}
		if _, _, ok := s.node.LeaderLease(); ok {
			return s
		}
	}
	return nil
}

// generateLoad proposes at a steady rate, mostly at the leader, until end.
func (w *simulation) generateLoad(end time.Duration) {
	if w.now >= end {
		return
	}
	s := w.leader()
	if s == nil || w.r.IntN(10) == 0 {
		s = w.hosts[w.r.IntN(len(w.hosts))]
	}
	w.propose(s)
	if w.r.IntN(4) == 0 {
		w.read(s)
	}
	w.after(time.Duration(w.r.Int64N(int64(40*time.Millisecond))), func() { w.generateLoad(end) })
}

// clearFaults ends all faults and starts all founders' sites again.
func (w *simulation) clearFaults() {
	clear(w.cut)
	clear(w.slow)
	w.dropPct, w.delayPct, w.duplicatePct = 0, 0, 0
	for _, s := range w.hosts {
		s.frozenUntil = 0
		s.fs.Hook = nil
		s.fs.FreeBytes = -1
		s.afterPass = nil
		if s.machine != nil {
			s.machine.hook = nil
		}
	}
	for _, s := range w.founders() {
		s.start()
	}
}

// recoveryTime bounds how long a healed world may take to agree.
const recoveryTime = 60 * time.Second

// checkRecovery heals the world and checks that the replicas come to agree and that
// nothing acknowledged is lost.
func (w *simulation) checkRecovery() {
	w.clearFaults()
	if !w.runUntil(recoveryTime, w.converged) {
		failf("no agreement %v after the last fault: %s", recoveryTime, w.describe())
	}
	for _, s := range w.hosts {
		if s.node != nil && w.isMember(s) {
			w.checkAcked(s)
		}
	}
}

// checkAcked fails if a site lacks an acknowledged command or has one twice.
func (w *simulation) checkAcked(s *simHost) {
	count := make(map[string]int)
	for _, item := range s.machine.items() {
		count[item]++
		if count[item] > 1 {
			failf("%q was applied twice at %s", item, s.addr)
		}
	}
	for _, data := range w.acked {
		if count[data] == 0 {
			failf("%q was acknowledged and is lost at %s", data, s.addr)
		}
	}
}

func (w *simulation) isMember(s *simHost) bool {
	leader := w.leader()
	return leader != nil && consensus.FindMember(leader.node.currentStatus().membership, s.node.id) != nil
}

// converged tells whether a leader acts and all members' sites, at least three
// voters, have applied all that it has.
func (w *simulation) converged() bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	status := leader.node.currentStatus()
	if status.Applied != status.Last || len(w.pending) > 0 {
		return false
	}
	for _, m := range status.membership.Members {
		s := w.host(m.Addr)
		if m.Learner || s.node == nil || s.node.id != m.Id || s.node.currentStatus().Applied != status.Applied {
			return false
		}
	}
	return true
}

func (w *simulation) describe() string {
	text := ""
	for _, s := range w.hosts {
		if s.node == nil {
			text += fmt.Sprintf("%s down; ", s.addr)
			continue
		}
		st := s.node.currentStatus()
		text += fmt.Sprintf("%s id %s role %d term %d leader %s applied %d committed %d last %d members %v; ",
			s.addr, st.ID, st.Role, st.Term, st.Leader, st.Applied, st.Committed, st.Last, st.membership)
	}
	return text
}
