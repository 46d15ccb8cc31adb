package consensus

import (
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ReadState is the result of a ReadIndex. A quorum confirmed the leader after the
// request, and every entry that was committed before the request is at or below Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// pendingRead is a ReadIndex request that waits for its heartbeat round.
type pendingRead struct {
	id    uint64
	index uint64
	// round is the heartbeat round that confirms the read, or zero if none has started
	// for it.
	round uint64
}

// readTracker numbers the leader's heartbeat rounds and holds the reads that wait for
// the confirmation of a round. A round is confirmed once a quorum has acknowledged a
// heartbeat of that round or of a later one.
type readTracker struct {
	round     uint64
	confirmed uint64
	pending   []pendingRead
}

func (r *readTracker) reset() { *r = readTracker{} }

// ReadIndex requests a ReadState with the given id. The read waits until the leader has
// committed an entry of its own term, since before that the leader's commit index may
// be lower than that of an earlier leader.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	read := pendingRead{id: id}
	if c.CommittedInTerm() {
		c.startHeartbeatRound()
		read.index = c.log.committed
		read.round = c.reads.round
	}
	c.reads.pending = append(c.reads.pending, read)
	c.releaseConfirmedReads()
	return nil
}

// startDeferredReads starts a heartbeat round for the reads that waited for the first
// commit of the term.
func (c *Core) startDeferredReads() {
	started := false
	for i := range c.reads.pending {
		read := &c.reads.pending[i]
		if read.round != 0 {
			continue
		}
		if !started {
			c.startHeartbeatRound()
			started = true
		}
		read.index = c.log.committed
		read.round = c.reads.round
	}
	c.releaseConfirmedReads()
}

// HeartbeatRounds returns the number of the last heartbeat round started in this term,
// and the highest round that a quorum confirmed.
func (c *Core) HeartbeatRounds() (started, confirmed uint64) {
	return c.reads.round, c.reads.confirmed
}

// startHeartbeatRound sends heartbeats with a new round number.
func (c *Core) startHeartbeatRound() {
	c.heartbeatElapsed = 0
	c.reads.round++
	if self := c.peers[c.cfg.ID]; self != nil {
		self.ackedRound = c.reads.round
	}
	for _, m := range c.log.members.current().Members {
		if m.Id == c.cfg.ID {
			continue
		}
		c.sendImmediate(&pb.RaftMessage{
			Kind:   pb.RaftKind_RAFT_KIND_HEARTBEAT,
			To:     m.Id,
			Commit: min(c.peers[m.Id].match, c.log.committed),
			Round:  c.reads.round,
		})
	}
	c.confirmHeartbeatRounds()
}

// confirmHeartbeatRounds updates the highest round that a quorum of voters has
// acknowledged.
func (c *Core) confirmHeartbeatRounds() {
	confirmed := c.quorumValue(func(p *progress) uint64 { return p.ackedRound })
	c.reads.confirmed = max(c.reads.confirmed, confirmed)
	c.releaseConfirmedReads()
}

func (c *Core) releaseConfirmedReads() {
	c.reads.pending = slices.DeleteFunc(c.reads.pending, func(r pendingRead) bool {
		if r.round == 0 || r.round > c.reads.confirmed {
			return false
		}
		c.pendingReady.Reads = append(c.pendingReady.Reads, ReadState{ID: r.id, Index: r.index})
		return true
	})
}

// quorumValue returns the highest number n for which value returns at least n for a
// quorum of voters, or 0 if there are no voters.
func (c *Core) quorumValue(value func(*progress) uint64) uint64 {
	membership := c.log.members.current()
	values := make([]uint64, 0, len(membership.Members))
	for _, m := range membership.Members {
		if !m.Learner {
			values = append(values, value(c.peers[m.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorumOf(membership)]
}
