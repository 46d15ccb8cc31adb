package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// checkApplied holds every replica to what was first applied at an index.
func (w *world) checkApplied(e Entry) {
	got := appliedEntry{e.Term, string(e.Data)}
	first, seen := w.entries[e.Index]
	if !seen {
		w.entries[e.Index] = got
		return
	}
	if first != got {
		violation("entry %d was %v and is now %v", e.Index, first, got)
	}
}

// observe checks one leader a term, and that no leader is elected while an
// earlier one may still act.
func (w *world) observe(s *site) {
	status := s.node.snapshotStatus()
	if status.Role != consensus.Leader {
		return
	}
	known, seen := w.leaders[status.Term]
	if seen && known != status.ID {
		violation("term %d has leaders %s and %s", status.Term, known, status.ID)
	}
	if !seen {
		w.leaders[status.Term] = status.ID
		if status.Term > w.promiseTerm && w.now < w.promise {
			violation("term %d began at %v, the leader of term %d may act until %v", status.Term, w.now, w.promiseTerm, w.promise)
		}
	}
	if until, term, ok := s.node.ActUntil(); ok {
		if end := s.global(until); end > w.promise {
			w.promise, w.promiseTerm = end, term
		}
		if term < w.promiseTerm {
			violation("the leader of term %d acts after term %d did", term, w.promiseTerm)
		}
	}
}

// propose offers a new command to a site whose node runs.
func (w *world) propose(s *site) *pendingCall {
	if s.node == nil || w.now < s.thaw {
		return nil
	}
	w.sent++
	c := &pendingCall{data: fmt.Sprintf("command %d", w.sent), done: make(chan outcome, 1)}
	s.pass(func(n *Node) { n.takeProposals(&proposal{data: []byte(c.data), done: c.done}) })
	w.open = append(w.open, c)
	return c
}

// read asks a site for a read index; its answer must cover all acknowledged
// before.
func (w *world) read(s *site) {
	if s.node == nil || w.now < s.thaw {
		return
	}
	c := &pendingCall{read: make(chan readOutcome, 1), floor: w.ackedAt}
	s.pass(func(n *Node) { n.takeReads(&readCall{done: c.read}) })
	w.open = append(w.open, c)
}

// collect takes the answers that have come.
func (w *world) collect() {
	w.open = slices.DeleteFunc(w.open, func(c *pendingCall) bool {
		select {
		case o := <-c.done:
			if o.err == nil {
				w.acked = append(w.acked, c.data)
				w.ackedAt = max(w.ackedAt, o.at.Index)
			}
			return true
		case o := <-c.read:
			if o.err == nil && o.at.Index < c.floor {
				violation("a read was answered at %d, %d was acknowledged before", o.at.Index, c.floor)
			}
			return true
		default:
			return false
		}
	})
}

// leader returns a site whose node may act, nil if there is none.
func (w *world) leader() *site {
	for _, s := range w.sites {
		if s.node == nil || w.now < s.thaw {
			continue
		}
		if _, _, ok := s.node.ActUntil(); ok {
			return s
		}
	}
	return nil
}

// load proposes at a steady rate, mostly at the leader, until end.
func (w *world) load(end time.Duration) {
	if w.now >= end {
		return
	}
	s := w.leader()
	if s == nil || w.r.IntN(10) == 0 {
		s = w.sites[w.r.IntN(len(w.sites))]
	}
	w.propose(s)
	if w.r.IntN(4) == 0 {
		w.read(s)
	}
	w.after(time.Duration(w.r.Int64N(int64(40*time.Millisecond))), func() { w.load(end) })
}

// heal ends all faults and starts all founders' sites again.
func (w *world) heal() {
	clear(w.cut)
	clear(w.slow)
	w.dropPct, w.latePct, w.doublePct = 0, 0, 0
	for _, s := range w.sites {
		s.thaw = 0
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

// settleTime bounds how long a healed world may take to agree.
const settleTime = 60 * time.Second

// settle heals the world and checks that the replicas come to agree and that
// nothing acknowledged is lost.
func (w *world) settle() {
	w.heal()
	if !w.runUntil(settleTime, w.agreed) {
		violation("no agreement %v after the last fault: %s", settleTime, w.describe())
	}
	for _, s := range w.sites {
		if s.node != nil && w.isMember(s) {
			w.checkAcked(s)
		}
	}
}

// checkAcked fails if a site lacks an acknowledged command or has one twice.
func (w *world) checkAcked(s *site) {
	count := make(map[string]int)
	for _, item := range s.machine.items() {
		count[item]++
		if count[item] > 1 {
			violation("%q was applied twice at %s", item, s.addr)
		}
	}
	for _, data := range w.acked {
		if count[data] == 0 {
			violation("%q was acknowledged and is lost at %s", data, s.addr)
		}
	}
}

func (w *world) isMember(s *site) bool {
	leader := w.leader()
	return leader != nil && consensus.FindMember(leader.node.snapshotStatus().membership, s.node.id) != nil
}

// agreed tells whether a leader acts and all members' sites, at least three
// voters, have applied all that it has.
func (w *world) agreed() bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	status := leader.node.snapshotStatus()
	if status.Applied != status.Last || len(w.open) > 0 {
		return false
	}
	for _, m := range status.membership.Members {
		s := w.site(m.Addr)
		if m.Learner || s.node == nil || s.node.id != m.Id || s.node.snapshotStatus().Applied != status.Applied {
			return false
		}
	}
	return true
}

func (w *world) describe() string {
	text := ""
	for _, s := range w.sites {
		if s.node == nil {
			text += fmt.Sprintf("%s down; ", s.addr)
			continue
		}
		st := s.node.snapshotStatus()
		text += fmt.Sprintf("%s id %s role %d term %d leader %s applied %d committed %d last %d members %v; ",
			s.addr, st.ID, st.Role, st.Term, st.Leader, st.Applied, st.Committed, st.Last, st.membership)
	}
	return text
}
