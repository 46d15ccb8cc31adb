package consensus

import (
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Propose appends a command with data to the leader's log. The timestamp of the entry
// is nowMs, or the timestamp of the previous entry if that is later, so that timestamps
// never decrease along the log.
func (c *Core) Propose(data []byte, nowMs int64) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.uncommittedBytes > maxUncommittedBytes {
		return 0, 0, ErrOverloaded
	}
	e := c.appendEntry(pb.EntryKind_ENTRY_KIND_COMMAND, data, nowMs)
	return e.Index, e.Term, nil
}

func (c *Core) appendEntry(kind pb.EntryKind, data []byte, nowMs int64) *pb.LogEntry {
	e := &pb.LogEntry{
		Term:   c.term,
		Index:  c.log.lastIndex() + 1,
		Kind:   kind,
		TimeMs: max(nowMs, c.log.lastTime()),
		Data:   data,
	}
	c.log.append(e)
	c.uncommittedBytes += entryBytes(e)
	c.broadcastPending = true
	if kind == pb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.syncPeers()
	}
	return e
}

// CommittedInTerm reports whether this replica leads and has committed an entry of its
// current term. Only then does the leader know all entries that earlier leaders
// committed.
func (c *Core) CommittedInTerm() bool {
	return c.role == Leader && c.log.committed >= c.firstIndexOfTerm
}

// quorumActive reports whether a quorum of voters has replied since the previous call
// (check-quorum).
func (c *Core) quorumActive() bool {
	active := c.quorumValue(func(p *progress) uint64 {
		if p == c.peers[c.cfg.ID] || p.recentlyActive {
			return 1
		}
		return 0
	})
	for _, p := range c.peers {
		p.recentlyActive = false
	}
	return active == 1
}

// handleFollowerReply processes a reply from a member. Replies from replicas outside the
// membership are ignored.
func (c *Core) handleFollowerReply(m *pb.RaftMessage) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	switch m.Kind {
	case pb.RaftKind_RAFT_KIND_APPEND_REPLY:
		c.handleAppendReply(m, p)
	case pb.RaftKind_RAFT_KIND_HEARTBEAT_REPLY:
		c.handleHeartbeatReply(m, p)
	case pb.RaftKind_RAFT_KIND_SNAPSHOT_REPLY:
		c.handleSnapshotReply(m, p)
	}
}

func (c *Core) handleAppendReply(m *pb.RaftMessage, p *progress) {
	if m.Reject {
		c.handleRejection(m, p)
		return
	}
	wasPaused := p.paused()
	advanced := p.recordAck(m.Index)
	switch {
	case p.state == probing && (advanced || m.Index == p.match):
		p.becomeReplicating()
	case p.state == snapshotting && p.match >= p.snapshotIndex:
		p.becomeProbing()
	}
	if advanced {
		c.maybeCommit()
	}
	if c.role == Leader && (wasPaused || p.next <= c.log.lastIndex()) {
		c.sendEntries(m.From, p)
	}
}

// handleRejection moves the next index of a follower back to where both logs may match,
// and probes from there.
func (c *Core) handleRejection(m *pb.RaftMessage, p *progress) {
	switch p.state {
	case snapshotting:
		return
	case replicating:
		if m.Index <= p.match {
			return
		}
		p.becomeProbing()
	case probing:
		if m.Index != p.next-1 {
			return
		}
		p.next = c.log.findConflictByTerm(min(m.HintIndex, m.Index-1), m.HintTerm) + 1
		p.next = max(p.next, p.match+1)
		p.probePending = false
	}
	c.sendAppend(m.From, p)
}

func (c *Core) handleHeartbeatReply(m *pb.RaftMessage, p *progress) {
	if m.Round > p.ackedRound {
		p.ackedRound = m.Round
		c.confirmHeartbeatRounds()
	}
	if p.state == snapshotting {
		c.retryChunk(m.From, p)
		return
	}
	p.probePending = false
	if p.state == replicating && len(p.inflight) >= maxInflight {
		// Make room for the message below. The acknowledgements of the earlier ones may
		// have been lost.
		p.inflight = p.inflight[1:]
	}
	if p.match < c.log.lastIndex() {
		// The message is empty if all entries were sent. The reply to the message then
		// shows whether the entries arrived.
		c.sendAppend(m.From, p)
	}
}

// ReportUnreachable informs the leader that messages to the member with the given id
// may have been lost. The leader then probes from the last entry that the member has
// acknowledged, instead of sending more entries after the lost ones.
func (c *Core) ReportUnreachable(id string) {
	if p := c.peers[id]; p != nil && p.state == replicating {
		p.becomeProbing()
	}
}

func (c *Core) maybeCommit() {
	index := c.quorumValue(func(p *progress) uint64 { return p.match })
	term, ok := c.log.term(index)
	if index <= c.log.committed || !ok || term != c.term {
		return
	}
	c.requireMajority("commit", index, func(id string) bool { return c.peers[id].match >= index })
	hadCommitted := c.CommittedInTerm()
	for _, e := range c.log.slice(c.log.committed, index) {
		c.uncommittedBytes = max(0, c.uncommittedBytes-entryBytes(e))
	}
	c.log.commitTo(index)
	if !hadCommitted && c.CommittedInTerm() {
		c.startDeferredReads()
	}
	c.stepDownIfRemoved()
}

// requireMajority checks the invariant that agrees returns true for a majority of the
// voters. It counts the voters independently of evaluateVotes and quorumValue, so that
// an error in these does not go unnoticed.
func (c *Core) requireMajority(step string, index uint64, agrees func(id string) bool) {
	membership := c.log.members.current()
	voters, agreeing := 0, 0
	for _, m := range membership.Members {
		if m.Learner {
			continue
		}
		voters++
		if agrees(m.Id) {
			agreeing++
		}
	}
	invariant.Check(2*agreeing > voters, step, "id", c.cfg.ID, "term", c.term, "index", index,
		"voters", voters, "agreeing", agreeing, "membership", membership)
}

// stepDownIfRemoved ends the leadership of a replica that is no longer a voter, once
// the membership without this replica is committed.
func (c *Core) stepDownIfRemoved() {
	members := &c.log.members
	if members.currentIndex() > c.log.committed || isVoter(members.current(), c.cfg.ID) {
		return
	}
	for _, m := range members.current().Members {
		c.sendAppend(m.Id, c.peers[m.Id])
	}
	c.becomeFollower(c.term, "")
}

// broadcast sends new entries to all members whose flow control allows it.
func (c *Core) broadcast() {
	c.broadcastPending = false
	for _, m := range c.log.members.current().Members {
		if m.Id != c.cfg.ID {
			c.sendEntries(m.Id, c.peers[m.Id])
		}
	}
}

// sendEntries sends append messages to a member until all entries are sent or flow
// control pauses the member.
func (c *Core) sendEntries(to string, p *progress) {
	for !p.paused() && p.next <= c.log.lastIndex() {
		if !c.sendAppend(to, p) {
			return
		}
	}
}

// sendAppend sends one append message, which is empty if there are no new entries. If
// the log no longer holds the required entries, sendAppend starts a snapshot transfer
// instead and returns false.
func (c *Core) sendAppend(to string, p *progress) bool {
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.startSnapshot(to, p)
		return false
	}
	entries := limitEntryBytes(c.log.slice(prev, c.log.lastIndex()), maxMessageBytes)
	c.sendImmediate(&pb.RaftMessage{
		Kind:    pb.RaftKind_RAFT_KIND_APPEND,
		To:      to,
		Index:   prev,
		LogTerm: prevTerm,
		Entries: entries,
		Commit:  c.log.committed,
	})
	if len(entries) > 0 {
		p.recordSent(entries[len(entries)-1].Index)
	}
	return true
}

// limitEntryBytes returns the longest prefix of entries within the size bound, but at
// least one entry.
func limitEntryBytes(entries []*pb.LogEntry, bound int) []*pb.LogEntry {
	size := 0
	for i, e := range entries {
		size += entryBytes(e)
		if i > 0 && size > bound {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// entryOverheadBytes is added to the data size of each entry, so that entries without
// data count too.
const entryOverheadBytes = 64

func entryBytes(e *pb.LogEntry) int { return len(e.Data) + entryOverheadBytes }

// findConflictByTerm returns the highest index, at most index, whose entry has a term
// of at most term. Entries above the result cannot match the log of the peer that sent
// index and term. If the scan reaches an entry that is no longer in memory, the result
// is the index of that entry, since its term is unknown.
func (l *raftLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for {
		t, ok := l.term(index)
		if !ok || t <= term {
			return index
		}
		index--
	}
}
