package replica

import (
	"context"
	"errors"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/errs"
)

// ErrOverloaded means that a queue for proposals, reads or membership changes is
// full, that too many reads are unconfirmed, or that the uncommitted entries of the
// log exceed their size limit. Nothing was appended.
var ErrOverloaded = errors.New("too many requests are waiting")

// ErrTooLarge means that the proposal exceeds maxProposalBytes. Nothing was
// appended.
var ErrTooLarge = errors.New("the proposal is too large")

type outcome struct {
	result []byte
	at     Position
	err    error
}

type proposal struct {
	data []byte
	done chan outcome
}

// Propose implements RaftNode.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, Position, error) {
	if !n.running() {
		return nil, Position{}, errs.Wrap(ErrNotLeader, "propose", n.cfg.Addr)
	}
	if len(data) > maxProposalBytes {
		return nil, Position{}, errs.Wrap(ErrTooLarge, "propose", n.cfg.Addr)
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	default:
		return nil, Position{}, errs.Wrap(ErrOverloaded, "propose", n.cfg.Addr)
	}
	var o outcome
	select {
	case o = <-p.done:
	case <-ctx.Done():
		o.err = errors.Join(ErrOutcomeUnknown, ctx.Err())
	case <-n.done:
		o = outcomeAfterStop(p.done)
	}
	return o.result, o.at, errs.Wrap(o.err, "propose", n.cfg.Addr)
}

// outcomeAfterStop returns the outcome of a proposal after the node has stopped. If
// the loop sent no outcome before it ended, the result is ErrOutcomeUnknown.
func outcomeAfterStop(done <-chan outcome) outcome {
	select {
	case o := <-done:
		return o
	default:
		return outcome{err: ErrOutcomeUnknown}
	}
}

// handleProposals proposes p and the queued proposals, up to MaxBatch.
func (n *Node) handleProposals(p *proposal) {
	now := n.now().UnixMilli()
	n.propose(p, now)
	for range n.cfg.MaxBatch - 1 {
		select {
		case next := <-n.proposals:
			n.propose(next, now)
		default:
			return
		}
	}
}

func (n *Node) propose(p *proposal, nowMs int64) {
	n.metrics.proposals.Inc(1)
	index, term, err := n.core.Propose(p.data, nowMs)
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		p.done <- outcome{err: ErrNotLeader}
	case err != nil:
		p.done <- outcome{err: ErrOverloaded}
	default:
		n.waiters.add(Position{Term: term, Index: index}, p.done)
	}
}

// failQueued fails the calls that are still in the queues when the node stops.
func (n *Node) failQueued() {
	for {
		select {
		case p := <-n.proposals:
			p.done <- outcome{err: ErrNotLeader}
		case r := <-n.readRequests:
			r.done <- readOutcome{err: ErrNotLeader}
		case c := <-n.membershipChanges:
			c.proposed <- ErrNotLeader
		default:
			return
		}
	}
}

// waiters holds the proposals whose entries are not applied on this replica yet.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]waiter
}

type waiter struct {
	term uint64
	done chan<- outcome
}

func newWaiters() *waiters { return &waiters{byIndex: make(map[uint64]waiter)} }

func (w *waiters) add(at Position, done chan<- outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byIndex[at.Index] = waiter{at.Term, done}
}

// resolve completes the proposal that waits for the entry at this index.
func (w *waiters) resolve(at Position, result []byte) {
	w.mu.Lock()
	found, ok := w.byIndex[at.Index]
	delete(w.byIndex, at.Index)
	w.mu.Unlock()
	switch {
	case !ok:
	case found.term != at.Term:
		// An entry of another term was committed at this index, so the proposed
		// entry will never be committed.
		found.done <- outcome{err: ErrNotLeader}
	default:
		found.done <- outcome{result: result, at: at}
	}
}

// failAfter fails the proposals whose log index is above committed with
// ErrOutcomeUnknown, since another leader may still commit them. Proposals up to this
// index complete when their entries are applied.
func (w *waiters) failAfter(committed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for index, found := range w.byIndex {
		if index > committed {
			delete(w.byIndex, index)
			found.done <- outcome{err: ErrOutcomeUnknown}
		}
	}
}
