package consensus

import (
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Ready is the output of a Core. The caller processes it in this order:
//
//  1. Send Immediate.
//  2. Write Entries, then HardState, and sync both if Sync is set.
//  3. Send Messages and complete Reads.
//  4. Start to apply Committed.
//  5. Call Advance.
//  6. Store Chunks and call ChunkStored or InstallSnapshot for each.
//
// The caller must not call any other method of the Core between Ready and Advance.
type Ready struct {
	// Immediate messages may be sent before the sync. The caller adds the data to
	// snapshot messages.
	Immediate []*pb.RaftMessage
	// Entries replace all stored entries from the index of the first one on.
	Entries []*pb.LogEntry
	// HardState is nil if it did not change.
	HardState *pb.HardState
	Sync      bool
	// Messages must be sent only after the sync.
	Messages []*pb.RaftMessage
	Reads    []ReadState
	// Committed holds one batch of entries to apply. The next batch follows after the
	// call of Applied for this one.
	Committed []*pb.LogEntry
	// Chunks are received snapshot messages whose data the caller stores.
	Chunks []*pb.RaftMessage
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.broadcastPending ||
		len(c.pendingReady.Immediate)+len(c.pendingReady.Messages)+len(c.pendingReady.Reads)+len(c.pendingReady.Chunks) > 0 ||
		c.log.stable < c.log.lastIndex() ||
		c.hardStateChanged() ||
		len(c.nextToApply()) > 0
}

func (c *Core) hardStateChanged() bool {
	return c.savedHardState.Term != c.term || c.savedHardState.Vote != c.vote || c.savedHardState.Commit != c.log.committed
}

// Ready returns the pending work. The caller must confirm it with Advance.
func (c *Core) Ready() Ready {
	if c.broadcastPending && c.role == Leader {
		c.broadcast()
	}
	c.broadcastPending = false
	rd := c.pendingReady
	c.pendingReady = Ready{}
	rd.Entries = c.log.slice(c.log.stable, c.log.lastIndex())
	rd.Committed = c.nextToApply()
	if c.hardStateChanged() {
		rd.HardState = c.hardState()
	}
	voteChanged := c.savedHardState.Term != c.term || c.savedHardState.Vote != c.vote
	rd.Sync = voteChanged || len(rd.Entries) > 0
	if voteChanged {
		// No message may reveal a term or vote that is not synced: after a crash the
		// replica would not know that term or vote any more.
		rd.Messages = append(rd.Immediate, rd.Messages...)
		rd.Immediate = nil
	}
	return rd
}

// nextToApply returns the next batch of entries that are committed and synced.
func (c *Core) nextToApply() []*pb.LogEntry {
	if c.log.applying != c.log.applied {
		return nil
	}
	to := min(c.log.committed, c.log.stable, c.log.applying+maxApplyEntries)
	if to <= c.log.applying {
		return nil
	}
	return c.log.slice(c.log.applying, to)
}

// Advance confirms that the caller has written and synced the entries and the hard
// state of rd and has started to apply rd.Committed.
func (c *Core) Advance(rd Ready) {
	if rd.HardState != nil {
		c.savedHardState = proto.CloneOf(rd.HardState)
	}
	if n := len(rd.Committed); n > 0 {
		c.log.applying = rd.Committed[n-1].Index
	}
	n := len(rd.Entries)
	if n == 0 {
		return
	}
	c.log.stable = rd.Entries[n-1].Index
	if self := c.peers[c.cfg.ID]; c.role == Leader && self != nil {
		self.recordAck(c.log.stable)
		c.maybeCommit()
	}
}

// Applied confirms that the entries up to index, which an earlier Ready returned, are
// applied.
func (c *Core) Applied(index uint64) {
	if index <= c.log.applied && c.log.snapshot != nil && index <= c.log.snapshot.Index {
		// A snapshot that was installed meanwhile covers the batch.
		return
	}
	invariant.Check(index >= c.log.applied && index <= c.log.applying, "apply",
		"id", c.cfg.ID, "index", index, "applied", c.log.applied, "handed", c.log.applying)
	c.log.applied = index
}

// Status describes the current state of a Core.
type Status struct {
	ID        string
	Role      Role
	Term      uint64
	Leader    string
	Committed uint64
	Applied   uint64
	Last      uint64
	// Match holds the synced index of each member. It is set on the leader only.
	Match map[string]uint64
}

// Status returns a copy of the current state.
func (c *Core) Status() Status {
	s := Status{
		ID:        c.cfg.ID,
		Role:      c.role,
		Term:      c.term,
		Leader:    c.leader,
		Committed: c.log.committed,
		Applied:   c.log.applied,
		Last:      c.log.lastIndex(),
	}
	if c.role == Leader {
		s.Match = make(map[string]uint64, len(c.peers))
		for id, p := range c.peers {
			s.Match[id] = p.match
		}
	}
	return s
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Vote returns the ID of the replica that received the vote of the current term, or ""
// if none did.
func (c *Core) Vote() string { return c.vote }

// FirstIndexOfTerm returns the index of the first entry that this replica appended in
// its term as leader. On other replicas the result has no meaning.
func (c *Core) FirstIndexOfTerm() uint64 { return c.firstIndexOfTerm }

// Membership returns the latest membership in the log and reports whether it is
// committed.
func (c *Core) Membership() (membership *pb.Membership, committed bool) {
	m := &c.log.members
	return m.current(), m.currentIndex() <= c.log.committed
}

// MembershipIndex returns the log index of the latest membership.
func (c *Core) MembershipIndex() uint64 { return c.log.members.currentIndex() }
