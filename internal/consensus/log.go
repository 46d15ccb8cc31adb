package consensus

import (
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// raftLog holds the log entries after baseIndex in memory.
type raftLog struct {
	// baseIndex, baseTerm and baseTime (Unix milliseconds) are those of the entry
	// directly before entries, which a snapshot covers. They are zero if there is none.
	baseIndex uint64
	baseTerm  uint64
	baseTime  int64
	entries   []*pb.LogEntry

	// snapshot describes the newest snapshot on disk and is nil if there is none.
	snapshot *pb.SnapshotMeta
	// stable is the last synced index.
	stable    uint64
	committed uint64
	// applying is the last index that was returned in Ready.Committed.
	applying uint64
	applied  uint64
	members  memberships
}

func newLog(snapshot *pb.SnapshotMeta, entries []*pb.LogEntry) *raftLog {
	l := &raftLog{members: newMemberships(0, nil)}
	if snapshot != nil {
		l.reset(snapshot)
	}
	for _, e := range entries {
		l.append(e)
	}
	l.stable = l.lastIndex()
	return l
}

// reset replaces the log by a snapshot.
func (l *raftLog) reset(meta *pb.SnapshotMeta) {
	l.baseIndex = meta.Index
	l.baseTerm = meta.Term
	l.baseTime = meta.TimeMs
	l.entries = nil
	l.snapshot = meta
	l.stable = meta.Index
	l.committed = meta.Index
	l.applying = meta.Index
	l.applied = meta.Index
	l.members = newMemberships(meta.Index, meta.Membership)
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

func (l *raftLog) lastTime() int64 {
	if len(l.entries) == 0 {
		return l.baseTime
	}
	return l.entries[len(l.entries)-1].TimeMs
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *raftLog) at(index uint64) *pb.LogEntry { return l.entries[index-l.baseIndex-1] }

// slice returns the entries in (after, to].
func (l *raftLog) slice(after, to uint64) []*pb.LogEntry {
	return l.entries[after-l.baseIndex : to-l.baseIndex]
}

// upToDate reports whether a log that ends at index and term is at least as up to date
// as the local log.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

func (l *raftLog) append(e *pb.LogEntry) {
	invariant.Check(e.Index == l.lastIndex()+1, "append", "index", e.Index, "last", l.lastIndex())
	l.entries = append(l.entries, e)
	if e.Kind == pb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		l.members.add(e)
	}
}

// merge appends those of the leader's entries that the log does not hold yet. Before
// that it truncates the log from the first entry that conflicts with one of them.
// Entries up to baseIndex are skipped.
func (l *raftLog) merge(entries []*pb.LogEntry) {
	for i, e := range entries {
		if term, ok := l.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= l.baseIndex {
			continue
		}
		l.truncate(e.Index)
		for _, rest := range entries[i:] {
			l.append(rest)
		}
		return
	}
}

// checkCommitted checks the invariant that the leader's entries agree with the locally
// committed ones.
func (l *raftLog) checkCommitted(entries []*pb.LogEntry) {
	for _, e := range entries {
		if e.Index > l.committed {
			return
		}
		term, ok := l.term(e.Index)
		invariant.Check(!ok || term == e.Term, "committed entry", "index", e.Index, "term", term, "leader's term", e.Term)
	}
}

// truncate removes the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	invariant.Check(index > l.committed, "truncate", "index", index, "committed", l.committed)
	// The full slice expression forces the next append to copy, which keeps slices that
	// were returned earlier intact.
	end := index - l.baseIndex - 1
	l.entries = l.entries[:end:end]
	l.stable = min(l.stable, index-1)
	l.members.truncate(index)
}

func (l *raftLog) commitTo(index uint64) {
	invariant.Check(index >= l.committed && index <= l.lastIndex(), "commit",
		"index", index, "committed", l.committed, "last", l.lastIndex())
	l.committed = index
}

// compact removes the entries up to index from memory.
func (l *raftLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	e := l.at(index)
	l.entries = append([]*pb.LogEntry(nil), l.slice(index, l.lastIndex())...)
	l.baseIndex, l.baseTerm, l.baseTime = e.Index, e.Term, e.TimeMs
	l.members.compact(index)
}
