package consensus

import (
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// startSnapshot begins to send the newest snapshot to a member that needs
// entries which are no longer held.
func (c *Core) startSnapshot(to string, p *progress) {
	invariant.Check(c.log.snapshot != nil, "send snapshot", "to", to, "next", p.next, "base", c.log.baseIndex)
	p.becomeProbing()
	p.state = snapshotting
	p.snapshotIndex = c.log.snapshot.Index
	p.snapshotTerm = c.log.snapshot.Term
	p.snapshotOffset = 0
	c.sendChunk(to, p)
}

// sendChunk asks the caller to send the chunk at the member's offset.
func (c *Core) sendChunk(to string, p *progress) {
	c.sendImmediate(&pb.RaftMessage{
		Kind:    pb.RaftKind_RAFT_KIND_SNAPSHOT,
		To:      to,
		Index:   p.snapshotIndex,
		LogTerm: p.snapshotTerm,
		Offset:  p.snapshotOffset,
	})
}

// retryChunk sends a chunk again that was not answered for a heartbeat.
func (c *Core) retryChunk(to string, p *progress) {
	if p.chunkAcked {
		p.chunkAcked = false
		return
	}
	c.sendChunk(to, p)
}

// ReportSnapshotRemoved tells the leader that the snapshot which it sends to a member
// can no longer be read; sending starts again with the newest one.
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

// handleSnapshot passes a chunk on to be stored, unless the log already holds
// what the snapshot covers.
func (c *Core) handleSnapshot(m *pb.RaftMessage) {
	if !c.SkipSnapshot(m.Index, m.LogTerm) {
		c.pendingReady.Chunks = append(c.pendingReady.Chunks, m)
	}
}

// SkipSnapshot tells whether the log holds all that a snapshot covers; it then
// commits and acknowledges that. Installing the snapshot nevertheless would cut
// off synced entries behind it, which a leader may count on.
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

// ChunkStored answers a chunk: the bytes before offset are held.
func (c *Core) ChunkStored(m *pb.RaftMessage, offset uint64) {
	if m.Term != c.term || c.leader != m.From {
		return
	}
	c.send(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_SNAPSHOT_REPLY, To: m.From, Index: m.Index, Offset: offset,
	})
}

// InstallSnapshot replaces the log by a snapshot that was received, synced and
// restored. It must not be called between Ready and Advance.
func (c *Core) InstallSnapshot(meta *pb.SnapshotMeta) {
	held, ok := c.log.term(meta.Index)
	invariant.Check(meta.Index > c.log.committed && (!ok || held != meta.Term), "install snapshot",
		"id", c.cfg.ID, "index", meta.Index, "committed", c.log.committed, "last", c.log.lastIndex())
	c.log.reset(meta)
	if c.leader != "" && c.role == Follower {
		c.acknowledge(c.leader, meta.Index)
	}
}

// Compact tells that a snapshot was taken and synced here. Of the entries that
// it covers, at most maxEntries and maxBytes stay in memory for slow followers.
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
