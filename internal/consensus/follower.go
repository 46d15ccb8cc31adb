package consensus

import (
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// handleLeaderMessage processes an append, heartbeat or snapshot message from the
// leader of the current term.
func (c *Core) handleLeaderMessage(m *pb.RaftMessage) {
	invariant.Check(c.role != Leader, "one leader a term", "id", c.cfg.ID, "term", c.term, "other", m.From)
	invariant.Check(c.leader == "" || c.leader == m.From, "one leader a term",
		"id", c.cfg.ID, "term", c.term, "leader", c.leader, "other", m.From)
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.electionElapsed = 0
	c.ticksSinceLeader = 0
	switch m.Kind {
	case pb.RaftKind_RAFT_KIND_APPEND:
		c.handleAppend(m)
	case pb.RaftKind_RAFT_KIND_HEARTBEAT:
		c.log.commitTo(max(c.log.committed, m.Commit))
		c.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT_REPLY, To: m.From, Round: m.Round})
	case pb.RaftKind_RAFT_KIND_SNAPSHOT:
		c.handleSnapshot(m)
	}
}

func (c *Core) handleAppend(m *pb.RaftMessage) {
	c.log.checkCommitted(m.Entries)
	if m.Index < c.log.committed {
		c.acknowledge(m.From, c.log.committed)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		c.rejectAppend(m)
		return
	}
	c.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.log.commitTo(max(c.log.committed, min(m.Commit, last)))
	c.acknowledge(m.From, last)
}

// acknowledge confirms to the leader that this replica has synced its log up to index.
// The caller sends the message after the sync.
func (c *Core) acknowledge(to string, index uint64) {
	c.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_APPEND_REPLY, To: to, Index: index})
}

// rejectAppend rejects an append message whose previous entry does not match the local
// log. The reply carries a hint from which the leader finds the point of divergence in
// fewer round trips.
func (c *Core) rejectAppend(m *pb.RaftMessage) {
	hint := c.log.findConflictByTerm(m.Index, m.LogTerm)
	hintTerm, _ := c.log.term(hint)
	c.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Reject: true,
		Index: m.Index, HintIndex: hint, HintTerm: hintTerm,
	})
}
