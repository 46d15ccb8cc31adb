package replica

import (
	"context"
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/errs"
)

type readOutcome struct {
	at  Position
	err error
}

type readRequest struct{ done chan readOutcome }

// ReadIndex implements RaftNode.
func (n *Node) ReadIndex(ctx context.Context) (Position, error) {
	if !n.running() {
		return Position{}, errs.Wrap(ErrNotLeader, "read index", n.cfg.Addr)
	}
	r := &readRequest{done: make(chan readOutcome, 1)}
	select {
	case n.readRequests <- r:
	default:
		return Position{}, errs.Wrap(ErrOverloaded, "read index", n.cfg.Addr)
	}
	var o readOutcome
	select {
	case o = <-r.done:
	case <-ctx.Done():
		o.err = ctx.Err()
	case <-n.done:
		o.err = ErrNotLeader
	}
	return o.at, errs.Wrap(o.err, "read index", n.cfg.Addr)
}

// readQueue holds the read requests that wait for the confirmation of a heartbeat
// round or for entries to be applied. Requests that are queued at the same time
// share one round.
type readQueue struct {
	nextID  uint64
	applied uint64
	term    uint64
	// unconfirmed holds the requests whose heartbeat round is not confirmed yet, by
	// the ID of the call of Core.ReadIndex that they share.
	unconfirmed map[uint64][]*readRequest
	// awaitingApply holds the confirmed reads whose index is not applied yet.
	awaitingApply []confirmedRead
}

type confirmedRead struct {
	index    uint64
	requests []*readRequest
}

// handleReads starts one read of the core for r and the queued requests, up to
// MaxBatch.
func (n *Node) handleReads(r *readRequest) {
	requests := []*readRequest{r}
	for len(requests) < n.cfg.MaxBatch && len(n.readRequests) > 0 {
		requests = append(requests, <-n.readRequests)
	}
	q := &n.reads
	if len(q.unconfirmed) >= maxUnconfirmedRounds {
		completeReads(requests, readOutcome{err: ErrOverloaded})
		return
	}
	q.nextID++
	if q.unconfirmed == nil {
		q.unconfirmed = make(map[uint64][]*readRequest)
	}
	q.unconfirmed[q.nextID] = requests
	q.term = n.core.Term()
	if err := n.core.ReadIndex(q.nextID); err != nil {
		delete(q.unconfirmed, q.nextID)
		completeReads(requests, readOutcome{err: ErrNotLeader})
	}
}

func completeReads(requests []*readRequest, o readOutcome) {
	for _, r := range requests {
		r.done <- o
	}
}

// markConfirmed moves the reads whose heartbeat round was confirmed to
// awaitingApply and completes those whose index is applied already.
func (q *readQueue) markConfirmed(states []consensus.ReadState) {
	for _, s := range states {
		q.awaitingApply = append(q.awaitingApply, confirmedRead{s.Index, q.unconfirmed[s.ID]})
		delete(q.unconfirmed, s.ID)
	}
	if len(states) > 0 {
		q.completeApplied(q.applied, q.term)
	}
}

// completeApplied completes the confirmed reads up to the applied index.
func (q *readQueue) completeApplied(applied, term uint64) {
	q.applied = max(q.applied, applied)
	q.awaitingApply = slices.DeleteFunc(q.awaitingApply, func(r confirmedRead) bool {
		if r.index > q.applied {
			return false
		}
		completeReads(r.requests, readOutcome{at: Position{Term: term, Index: q.applied}})
		return true
	})
}

func (q *readQueue) failAll(err error) {
	for id, requests := range q.unconfirmed {
		completeReads(requests, readOutcome{err: err})
		delete(q.unconfirmed, id)
	}
	for _, r := range q.awaitingApply {
		completeReads(r.requests, readOutcome{err: err})
	}
	q.awaitingApply = nil
}
