package replica

import (
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// loop runs passes until the node stops: each pass handles the queued inputs,
// lets the core process them and performs the resulting writes and sends.
func (n *Node) loop() {
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	n.lease.passStart = n.now()
	// The first pass applies the entries that were committed before the start,
	// without waiting for an input.
	for ok := true; ok; ok = n.waitInput(ticker.C) {
		if err := n.process(); err != nil {
			n.fail(err)
			return
		}
	}
}

// waitInput waits for an input and also handles the inputs that are queued by
// then, so that all of them share one sync (group commit). It returns false once
// the node stops.
func (n *Node) waitInput(ticks <-chan time.Time) bool {
	ok := true
	select {
	case <-n.ctx.Done():
		return false
	case <-ticks:
		n.lease.passStart = n.now()
		n.tick()
	case b := <-n.incoming:
		n.lease.passStart = n.now()
		n.step(b)
	case p := <-n.proposals:
		n.lease.passStart = n.now()
		n.handleProposals(p)
	case r := <-n.readRequests:
		n.lease.passStart = n.now()
		n.handleReads(r)
	case c := <-n.membershipChanges:
		n.lease.passStart = n.now()
		n.handleChange(c)
	case r := <-n.applier.results:
		n.lease.passStart = n.now()
		ok = n.handleApplyResult(r)
	case id := <-n.unreachable:
		n.lease.passStart = n.now()
		n.core.ReportUnreachable(id)
	}
	return ok && n.drainInputs()
}

// drainInputs handles the queued message batches and apply results, up to
// batchQueueSize of them. Once none is queued it also handles one batch of
// proposals or reads. It returns false after a failure.
func (n *Node) drainInputs() bool {
	for range batchQueueSize {
		select {
		case b := <-n.incoming:
			n.step(b)
		case r := <-n.applier.results:
			if !n.handleApplyResult(r) {
				return false
			}
		default:
			select {
			case p := <-n.proposals:
				n.handleProposals(p)
			case r := <-n.readRequests:
				n.handleReads(r)
			default:
			}
			return true
		}
	}
	return true
}

func (n *Node) tick() {
	n.core.Tick()
	n.recordLeadership()
	n.reconcileMembers()
}

func (n *Node) step(b *pb.RaftBatch) {
	for _, m := range b.Messages {
		n.peers.recordSender(m.From, b.FromAddr)
		n.core.Step(m)
	}
}

// process performs the work that the core returns from Ready, in the order that
// consensus.Ready prescribes.
func (n *Node) process() error {
	for n.core.HasReady() {
		rd := n.core.Ready()
		n.peers.update(n.core)
		n.sendBeforeSync(rd.Immediate)
		if err := n.save(rd); err != nil {
			return err
		}
		n.peers.send(rd.Messages)
		n.reads.markConfirmed(rd.Reads)
		n.applier.enqueue(rd.Committed)
		n.core.Advance(rd)
		for _, m := range rd.Chunks {
			if err := n.storeChunk(m); err != nil {
				return err
			}
		}
	}
	n.publish()
	return nil
}

func (n *Node) save(rd consensus.Ready) error {
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	start := n.now()
	if err := n.journal.Save(rd.HardState, rd.Entries, rd.Sync); err != nil {
		return err
	}
	if rd.Sync {
		n.metrics.sync.Record(n.now().Sub(start))
		n.metrics.syncs.Inc(1)
		n.syncs.Add(1)
	}
	return nil
}

// handleApplyResult handles a result of the applier. It returns false after a
// failure.
func (n *Node) handleApplyResult(r applyResult) bool {
	if r.err != nil {
		n.fail(r.err)
		return false
	}
	if r.snapshot != nil {
		n.core.Compact(r.snapshot, n.cfg.TrailingEntries, trailingBytes)
		if err := n.journal.Compact(r.snapshot.Index); err != nil {
			n.fail(err)
			return false
		}
		n.logEvent(log.InfoLevel, "snapshot").Uint64("index", r.snapshot.Index).Msg("a snapshot was taken")
		return true
	}
	n.core.Applied(r.index)
	n.reads.completeApplied(r.index, n.core.Term())
	return true
}

// publish copies the core's state to n.status, which other goroutines read. On
// a replica that is not the leader it also fails the proposals that are not known
// to be committed and all reads.
func (n *Node) publish() {
	s := n.core.Status()
	membership, _ := n.core.Membership()
	started, confirmed := n.core.HeartbeatRounds()
	n.lease.update(s, started, confirmed)
	if s.Role != consensus.Leader {
		n.waiters.failAfter(s.Committed)
		n.reads.failAll(ErrNotLeader)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.status.Leader != s.Leader || n.status.Term != s.Term {
		n.metrics.term.Update(float64(s.Term))
		n.logEvent(log.InfoLevel, "elect").Uint64("term", s.Term).Str("leader", s.Leader).Msg("the leader changed")
	}
	n.status.Status = s
	n.status.membership = membership
	n.status.leaderAddr = n.peers.addr(s.Leader)
	n.status.leaseUntil = n.lease.until(n.cfg.leasePeriod())
	n.status.leaseReady = n.core.CommittedInTerm() && s.Applied >= n.core.FirstIndexOfTerm()
	if s.Last > 0 {
		n.status.formation = pb.FormationState_FORMATION_STATE_RUNNING
	}
}
