package consensus

import (
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Ready is the output of a Core. The caller, in this order,
//  1. sends Prompt,
//  2. writes Entries, then HardState, and syncs them if Sync is set,
//  3. sends Messages and answers Reads,
//  4. starts applying Committed,
//  5. calls Advance,
//  6. stores Chunks and answers each with ChunkStored or InstallSnapshot.
//
// Between Ready and Advance the core takes no other call.
type Ready struct {
	// Immediate may leave before the sync. The caller fills in the chunks of
	// snapshot messages.
	Immediate []*pb.RaftMessage
	// Entries replace all written entries from the first one's index on.
	Entries []*pb.LogEntry
	// HardState is nil if it did not change.
	HardState *pb.HardState
	Sync      bool
	Messages  []*pb.RaftMessage
	Reads     []ReadState
	// Committed entries are given out one batch at a time; the next follows
	// after Applied.
	Committed []*pb.LogEntry
	Chunks    []*pb.RaftMessage
}

// HasReady tells whether Ready would return work.
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

// Ready returns the work to do; Advance must follow.
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
		// Nothing may show a term that a crash could still take back.
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

// Advance tells that the steps of rd up to its sync are done.
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

// Applied tells that the entries up to index, given out before, are applied.
func (c *Core) Applied(index uint64) {
	if index <= c.log.applied && c.log.snapshot != nil && index <= c.log.snapshot.Index {
		// A snapshot was installed over the batch.
		return
	}
	invariant.Check(index >= c.log.applied && index <= c.log.applying, "apply",
		"id", c.cfg.ID, "index", index, "applied", c.log.applied, "handed", c.log.applying)
	c.log.applied = index
}

// Status describes a core for its caller.
type Status struct {
	ID        string
	Role      Role
	Term      uint64
	Leader    string
	Committed uint64
	Applied   uint64
	Last      uint64
	// Match holds the synced index of each member, on the leader only.
	Match map[string]uint64
}

// Status returns a copy of the core's present state.
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

// Role returns the present role.
func (c *Core) Role() Role { return c.role }

// Term returns the present term.
func (c *Core) Term() uint64 { return c.term }

// Vote returns the replica voted for in the present term, "" if none.
func (c *Core) Vote() string { return c.vote }

// FirstIndexOfTerm returns the index of the leader's first entry in its term.
func (c *Core) FirstIndexOfTerm() uint64 { return c.firstIndexOfTerm }

// Membership returns the latest membership in the log and whether it is
// committed.
func (c *Core) Membership() (membership *pb.Membership, committed bool) {
	m := &c.log.members
	return m.current(), m.currentIndex() <= c.log.committed
}

// MembershipIndex returns the log index of the latest membership.
func (c *Core) MembershipIndex() uint64 { return c.log.members.currentIndex() }
