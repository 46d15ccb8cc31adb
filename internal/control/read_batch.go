package control

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// readRoundTimeout bounds one read-index round, in which a quorum confirms the
// leader.
const readRoundTimeout = 2 * time.Second

// readBatch batches linearizable reads: all reads that arrive during one
// read-index round share the next one. A read never joins a round that began
// before the read arrived, so that the leader is always confirmed after the
// request.
type readBatch struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	log    replica.RaftNode
	rounds tally.Counter
	reads  tally.Counter

	mu sync.Mutex
	// pending is the round that has not begun yet, nil if no read waits for one.
	pending *readRound
	running bool
}

type readRound struct {
	ended chan struct{}
	err   error
}

func newReadBatch(l replica.RaftNode, scope tally.Scope) *readBatch {
	ctx, cancel := context.WithCancel(context.Background())
	return &readBatch{
		ctx:    ctx,
		cancel: cancel,
		log:    l,
		rounds: scope.Counter("read_rounds"),
		reads:  scope.Counter("reads"),
	}
}

// wait returns once a round that began after the call has confirmed the leader.
func (b *readBatch) wait(ctx context.Context) error {
	b.reads.Inc(1)
	round := b.join()
	if round == nil {
		return notLeader("the replica is closing")
	}
	select {
	case <-round.ended:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the pending round and starts run if needed. It returns nil after
// close.
func (b *readBatch) join() *readRound {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return nil
	}
	if b.pending == nil {
		b.pending = &readRound{ended: make(chan struct{})}
	}
	if !b.running {
		b.running = true
		b.wg.Go(b.run)
	}
	return b.pending
}

// close cancels the current round and prevents further rounds.
func (b *readBatch) close() {
	b.mu.Lock()
	b.cancel()
	b.mu.Unlock()
	b.wg.Wait()
}

// run executes rounds until no read waits.
func (b *readBatch) run() {
	for {
		b.mu.Lock()
		round := b.pending
		b.pending = nil
		if round == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.rounds.Inc(1)
		ctx, cancel := context.WithTimeout(b.ctx, readRoundTimeout)
		if _, err := b.log.ReadIndex(ctx); err != nil {
			// A read has no effect, so its outcome is never unknown.
			round.err = notLeader("read index: " + err.Error())
		}
		cancel()
		close(round.ended)
	}
}
