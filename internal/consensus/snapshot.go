package consensus

import (
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// startSnapshot starts the transfer of the newest snapshot to a member that needs
// entries which the log no longer holds.
func (c *Core) startSnapshot(to string, p *progress) {
	invariant.Check(c.log.snapshot != nil, "send snapshot", "to", to, "next", p.next, "base", c.log.baseIndex)
	p.becomeProbing()
	p.state = snapshotting
	p.snapshotIndex = c.log.snapshot.Index
	p.snapshotTerm = c.log.snapshot.Term
	p.snapshotOffset = 0
	c.sendChunk(to, p)
}

// sendChunk queues a message for the snapshot chunk at the member's offset. The caller
// adds the data.
func (c *Core) sendChunk(to string, p *progress) {
	c.sendImmediate(&pb.RaftMessage{
		Kind:    pb.RaftKind_RAFT_KIND_SNAPSHOT,
		To:      to,
		Index:   p.snapshotIndex,
		LogTerm: p.snapshotTerm,
		Offset:  p.snapshotOffset,
	})
}

// retryChunk resends the current chunk if no chunk was acknowledged since the last
// heartbeat reply.
func (c *Core) retryChunk(to string, p *progress) {
	if p.chunkAcked {
		p.chunkAcked = false
		return
	}
	c.sendChunk(to, p)
}

// ReportSnapshotRemoved informs the leader that the snapshot in transfer to a member can
// no longer be read. The transfer restarts with the newest snapshot.
func (c *Core) ReportSnapshotRemoved(to string) {
	if p := c.peers[to]; c.role == Leader && p != nil && p.state == snapshotting {
		c.startSnapshot(to, p)
	}
}

func (c *Core) handleSnapshotReply(m *pb.RaftMessage, p *progress) {
	if p.state != snapshotting || m.Index != p.snapshotIndex || m.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.Offset
	p.chunkAcked = true
	c.sendChunk(m.From, p)
}

// handleSnapshot passes a snapshot chunk to the caller for storage, unless the log
// already holds all entries that the snapshot covers.
func (c *Core) handleSnapshot(m *pb.RaftMessage) {
	if !c.SkipSnapshot(m.Index, m.LogTerm) {
		c.pendingReady.Chunks = append(c.pendingReady.Chunks, m)
	}
}

// SkipSnapshot reports whether the log already holds all entries that a snapshot
// covers. If so, it commits the log up to index and acknowledges that to the leader.
// Installing the snapshot in this case would remove synced entries after it, which the
// leader may have counted as replicated.
func (c *Core) SkipSnapshot(index, term uint64) bool {
	held, ok := c.log.term(index)
	if index > c.log.committed && (!ok || held != term) {
		return false
	}
	c.log.commitTo(max(c.log.committed, index))
	if c.leader != "" && c.role == Follower {
		c.acknowledge(c.leader, c.log.committed)
	}
	return true
}

// ChunkStored acknowledges a snapshot chunk to the leader: this replica has stored the
// bytes before offset.
func (c *Core) ChunkStored(m *pb.RaftMessage, offset uint64) {
	if m.Term != c.term || c.leader != m.From {
		return
	}
	c.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_SNAPSHOT_REPLY, To: m.From, Index: m.Index, Offset: offset,
	})
}

// InstallSnapshot replaces the log by a snapshot that the caller has received, synced
// and restored. It must not be called between Ready and Advance.
func (c *Core) InstallSnapshot(meta *pb.SnapshotMeta) {
	held, ok := c.log.term(meta.Index)
	invariant.Check(meta.Index > c.log.committed && (!ok || held != meta.Term), "install snapshot",
		"id", c.cfg.ID, "index", meta.Index, "committed", c.log.committed, "last", c.log.lastIndex())
	c.log.reset(meta)
	if c.leader != "" && c.role == Follower {
		c.acknowledge(c.leader, meta.Index)
	}
}

// Compact records that a local snapshot was taken and synced. Of the entries that the
// snapshot covers, at most maxEntries with at most maxBytes stay in memory for slow
// followers.
func (c *Core) Compact(meta *pb.SnapshotMeta, maxEntries uint64, maxBytes int) {
	invariant.Check(meta.Index <= c.log.applied, "compact", "index", meta.Index, "applied", c.log.applied)
	if c.log.snapshot != nil && c.log.snapshot.Index >= meta.Index {
		return
	}
	c.log.snapshot = meta
	keep := meta.Index
	for size := 0; keep > c.log.baseIndex && meta.Index-keep < maxEntries; keep-- {
		size += entryBytes(c.log.at(keep))
		if size > maxBytes {
			break
		}
	}
	c.log.compact(keep)
}
