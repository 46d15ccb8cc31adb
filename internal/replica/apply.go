package replica

import (
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// applyResults bounds the results between the applier and the loop: one batch
// is out at a time, and leaves an index and a snapshot at most.
const applyResults = 4

// applier is the only user of the machine. It runs beside the loop, so that a
// long apply or snapshot holds up no heartbeat.
type applier struct {
	node    *Node
	wake    chan struct{}
	results chan applyResult

	// slot guards pending, the one batch that the core has given out.
	slot    sync.Mutex
	pending []*pb.LogEntry

	// machine is held while the machine is in use; it guards what follows.
	machine sync.Mutex
	// last describes the state after the last applied entry.
	last *pb.SnapshotMeta
	// replayTo is the last entry that was known to be committed at the start. A state
	// before it was left behind by an earlier process and is shown to nobody.
	replayTo uint64
	// entries and bytes were applied since the last snapshot.
	entries uint64
	bytes   uint64
}

// applyResult reports an applied index, a snapshot taken, or a failure.
type applyResult struct {
	index    uint64
	snapshot *pb.SnapshotMeta
	err      error
}

func newApplier(n *Node, base *pb.SnapshotMeta, replayTo uint64) *applier {
	a := &applier{
		node:     n,
		wake:     make(chan struct{}, 1),
		results:  make(chan applyResult, applyResults),
		last:     &pb.SnapshotMeta{},
		replayTo: replayTo,
	}
	if base != nil {
		a.last = proto.CloneOf(base)
	}
	return a
}

// apply hands over a batch.
func (a *applier) apply(entries []*pb.LogEntry) {
	if len(entries) == 0 {
		return
	}
	a.slot.Lock()
	invariant.Check(a.pending == nil, "apply", "index", entries[0].Index)
	a.pending = entries
	a.slot.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) run() {
	for {
		select {
		case <-a.node.ctx.Done():
			return
		case <-a.wake:
			a.machine.Lock()
			a.applyPending()
			a.machine.Unlock()
		}
	}
}

// applyPending applies the batch that waits, if any; machine is held.
func (a *applier) applyPending() {
	a.slot.Lock()
	entries := a.pending
	a.pending = nil
	a.slot.Unlock()
	if len(entries) > 0 {
		a.applyBatch(entries)
	}
}

// loadSnapshot replaces the machine's state, after the batch that is out.
func (a *applier) loadSnapshot(index uint64) error {
	a.machine.Lock()
	defer a.machine.Unlock()
	a.applyPending()
	return a.load(index)
}

func (a *applier) applyBatch(entries []*pb.LogEntry) {
	for _, e := range entries {
		a.applyEntry(e)
	}
	a.node.metrics.commits.Inc(int64(len(entries)))
	a.node.metrics.applied.Update(float64(a.last.Index))
	a.show()
	a.results <- applyResult{index: a.last.Index}
	if a.entries >= a.node.cfg.SnapshotEntries || a.bytes >= a.node.cfg.SnapshotBytes {
		a.takeSnapshot()
	}
}

func (a *applier) applyEntry(e *pb.LogEntry) {
	invariant.Check(e.Index == a.last.Index+1, "apply", "index", e.Index, "last", a.last.Index)
	invariant.Check(e.Term >= a.last.Term && e.TimeMs >= a.last.TimeMs, "apply",
		"index", e.Index, "term", e.Term, "last term", a.last.Term, "time", e.TimeMs, "last time", a.last.TimeMs)
	at := Position{Term: e.Term, Index: e.Index}
	var result []byte
	switch e.Kind {
	case pb.EntryKind_ENTRY_KIND_COMMAND:
		result = a.node.cfg.Machine.Apply(Entry{Position: at, TimeMs: e.TimeMs, Data: e.Data})
	case pb.EntryKind_ENTRY_KIND_MEMBERSHIP:
		membership := &pb.Membership{}
		err := proto.Unmarshal(e.Data, membership)
		invariant.Check(err == nil, "apply", "index", e.Index, "error", err)
		a.last.Membership = membership
	}
	a.last.Index, a.last.Term, a.last.TimeMs = e.Index, e.Term, e.TimeMs
	a.entries++
	a.bytes += uint64(len(e.Data))
	a.node.waiters.resolve(at, result)
}

func (a *applier) takeSnapshot() {
	start := a.node.now()
	meta := proto.CloneOf(a.last)
	err := a.node.journal.WriteSnapshot(meta, func(w io.Writer) error { return a.node.cfg.Machine.Snapshot(w) })
	a.entries, a.bytes = 0, 0
	a.node.metrics.snapshot.Record(a.node.now().Sub(start))
	a.results <- applyResult{snapshot: meta, err: err}
}

// load replaces the machine's state by the snapshot at index.
func (a *applier) load(index uint64) error {
	s, err := a.node.journal.OpenSnapshot(index)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := a.node.cfg.Machine.Restore(s.State()); err != nil {
		return errs.Wrap(err, "restore snapshot", "")
	}
	a.last = proto.CloneOf(s.Meta)
	a.entries, a.bytes = 0, 0
	a.show()
	return nil
}

// show has the state looked at, unless it is older than what was committed before the
// start.
func (a *applier) show() {
	if a.node.cfg.OnApplied != nil && a.last.Index >= a.replayTo {
		a.node.cfg.OnApplied()
	}
}

// storeChunk takes one chunk of a leader's snapshot, and installs it with the
// last one: first on disk, then in the machine, then in the core.
func (n *Node) storeChunk(m *pb.RaftMessage) error {
	next, meta, err := n.journal.StoreChunk(journal.Chunk{
		From: m.From, Index: m.Index, Offset: m.Offset, Data: m.Chunk, Last: m.LastChunk,
	})
	if err != nil {
		return err
	}
	if meta == nil {
		n.core.ChunkStored(m, next)
		return nil
	}
	if n.core.SkipSnapshot(meta.Index, meta.Term) {
		return nil
	}
	hs := &pb.HardState{Term: n.core.Term(), Vote: n.core.Vote(), Commit: meta.Index}
	if err := n.journal.InstallSnapshot(meta, hs); err != nil {
		return err
	}
	if err := n.applier.loadSnapshot(meta.Index); err != nil {
		return err
	}
	n.core.InstallSnapshot(meta)
	// Entries that the snapshot stands for are not applied one by one.
	n.waiters.failAfter(0)
	n.reads.applied = max(n.reads.applied, meta.Index)
	return nil
}
