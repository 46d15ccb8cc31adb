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

type readCall struct{ done chan readOutcome }

// ReadIndex implements Log.
func (n *Node) ReadIndex(ctx context.Context) (Position, error) {
	if !n.running() {
		return Position{}, errs.Wrap(ErrNotLeader, "read index", n.cfg.Addr)
	}
	r := &readCall{done: make(chan readOutcome, 1)}
	select {
	case n.readCalls <- r:
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

// readQueue holds the calls that wait for a confirmation round or for entries
// to be applied. Calls that arrive together share one round.
type readQueue struct {
	nextID  uint64
	applied uint64
	term    uint64
	// rounds holds the calls by the id of their read.
	rounds map[uint64][]*readCall
	// applying holds confirmed calls, with the index that they wait for.
	applying []confirmedRead
}

type confirmedRead struct {
	index uint64
	calls []*readCall
}

// takeReads starts one read for r and the calls that wait behind it.
func (n *Node) takeReads(r *readCall) {
	calls := []*readCall{r}
	for len(calls) < n.cfg.MaxBatch && len(n.readCalls) > 0 {
		calls = append(calls, <-n.readCalls)
	}
	q := &n.reads
	if len(q.rounds) >= maxOpenRounds {
		answerReads(calls, readOutcome{err: ErrOverloaded})
		return
	}
	q.nextID++
	if q.rounds == nil {
		q.rounds = make(map[uint64][]*readCall)
	}
	q.rounds[q.nextID] = calls
	q.term = n.core.Term()
	if err := n.core.ReadIndex(q.nextID); err != nil {
		delete(q.rounds, q.nextID)
		answerReads(calls, readOutcome{err: ErrNotLeader})
	}
}

func answerReads(calls []*readCall, o readOutcome) {
	for _, c := range calls {
		c.done <- o
	}
}

// confirmed moves reads on whose round was confirmed.
func (q *readQueue) confirmed(states []consensus.ReadState) {
	for _, s := range states {
		q.applying = append(q.applying, confirmedRead{s.Index, q.rounds[s.ID]})
		delete(q.rounds, s.ID)
	}
	if len(states) > 0 {
		q.release(q.applied, q.term)
	}
}

// release answers the confirmed reads up to the applied index.
func (q *readQueue) release(applied, term uint64) {
	q.applied = max(q.applied, applied)
	q.applying = slices.DeleteFunc(q.applying, func(r confirmedRead) bool {
		if r.index > q.applied {
			return false
		}
		answerReads(r.calls, readOutcome{at: Position{Term: term, Index: q.applied}})
		return true
	})
}

func (q *readQueue) failAll(err error) {
	for id, calls := range q.rounds {
		answerReads(calls, readOutcome{err: err})
		delete(q.rounds, id)
	}
	for _, r := range q.applying {
		answerReads(r.calls, readOutcome{err: err})
	}
	q.applying = nil
}
