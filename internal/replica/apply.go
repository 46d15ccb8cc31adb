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

// applyResultQueueSize is the capacity of the channel from the applier to the
// loop. The core returns one batch of committed entries at a time, and a batch
// produces at most two results: an applied index and a snapshot.
const applyResultQueueSize = 4

// applier is the only user of the state machine. It runs in a goroutine of its
// own, so that a long apply or snapshot does not delay heartbeats.
type applier struct {
	node    *Node
	wake    chan struct{}
	results chan applyResult

	// pendingMu guards pending, the one committed batch that awaits its apply.
	pendingMu sync.Mutex
	pending   []*pb.LogEntry

	// machineMu guards the state machine and the fields below.
	machineMu sync.Mutex
	// lastApplied describes the state after the last applied entry.
	lastApplied *pb.SnapshotMeta
	// replayTo is the index of the last entry that was known to be committed at
	// the start. Config.OnApplied is not called for an older state, since an
	// earlier process of this replica may already have exposed a newer one.
	replayTo             uint64
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   uint64
}

// applyResult reports an applied index, a snapshot taken, or a failure.
type applyResult struct {
	index    uint64
	snapshot *pb.SnapshotMeta
	err      error
}

func newApplier(n *Node, base *pb.SnapshotMeta, replayTo uint64) *applier {
	a := &applier{
		node:        n,
		wake:        make(chan struct{}, 1),
		results:     make(chan applyResult, applyResultQueueSize),
		lastApplied: &pb.SnapshotMeta{},
		replayTo:    replayTo,
	}
	if base != nil {
		a.lastApplied = proto.CloneOf(base)
	}
	return a
}

// enqueue passes a batch of committed entries to the applier goroutine.
func (a *applier) enqueue(entries []*pb.LogEntry) {
	if len(entries) == 0 {
		return
	}
	a.pendingMu.Lock()
	invariant.Check(a.pending == nil, "apply", "index", entries[0].Index)
	a.pending = entries
	a.pendingMu.Unlock()
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
			a.machineMu.Lock()
			a.applyPending()
			a.machineMu.Unlock()
		}
	}
}

// applyPending applies the pending batch, if any. The caller holds machineMu.
func (a *applier) applyPending() {
	a.pendingMu.Lock()
	entries := a.pending
	a.pending = nil
	a.pendingMu.Unlock()
	if len(entries) > 0 {
		a.applyBatch(entries)
	}
}

// loadSnapshot applies the pending batch, if any, and then replaces the state
// machine's state by the snapshot at index.
func (a *applier) loadSnapshot(index uint64) error {
	a.machineMu.Lock()
	defer a.machineMu.Unlock()
	a.applyPending()
	return a.load(index)
}

func (a *applier) applyBatch(entries []*pb.LogEntry) {
	for _, e := range entries {
		a.applyEntry(e)
	}
	a.node.metrics.commits.Inc(int64(len(entries)))
	a.node.metrics.applied.Update(float64(a.lastApplied.Index))
	a.notifyApplied()
	a.results <- applyResult{index: a.lastApplied.Index}
	if a.entriesSinceSnapshot >= a.node.cfg.SnapshotEntries || a.bytesSinceSnapshot >= a.node.cfg.SnapshotBytes {
		a.takeSnapshot()
	}
}

func (a *applier) applyEntry(e *pb.LogEntry) {
	invariant.Check(e.Index == a.lastApplied.Index+1, "apply", "index", e.Index, "last", a.lastApplied.Index)
	invariant.Check(e.Term >= a.lastApplied.Term && e.TimeMs >= a.lastApplied.TimeMs, "apply",
		"index", e.Index, "term", e.Term, "last term", a.lastApplied.Term, "time", e.TimeMs, "last time", a.lastApplied.TimeMs)
	at := Position{Term: e.Term, Index: e.Index}
	var result []byte
	switch e.Kind {
	case pb.EntryKind_ENTRY_KIND_COMMAND:
		result = a.node.cfg.Machine.Apply(Entry{Position: at, TimeMs: e.TimeMs, Data: e.Data})
	case pb.EntryKind_ENTRY_KIND_MEMBERSHIP:
		membership := &pb.Membership{}
		err := proto.Unmarshal(e.Data, membership)
		invariant.Check(err == nil, "apply", "index", e.Index, "error", err)
		a.lastApplied.Membership = membership
	}
	a.lastApplied.Index, a.lastApplied.Term, a.lastApplied.TimeMs = e.Index, e.Term, e.TimeMs
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += uint64(len(e.Data))
	a.node.waiters.resolve(at, result)
}

func (a *applier) takeSnapshot() {
	start := a.node.now()
	meta := proto.CloneOf(a.lastApplied)
	err := a.node.journal.WriteSnapshot(meta, func(w io.Writer) error { return a.node.cfg.Machine.Snapshot(w) })
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	a.node.metrics.snapshot.Record(a.node.now().Sub(start))
	a.results <- applyResult{snapshot: meta, err: err}
}

// load replaces the state machine's state by the snapshot at index.
func (a *applier) load(index uint64) error {
	s, err := a.node.journal.OpenSnapshot(index)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := a.node.cfg.Machine.Restore(s.State()); err != nil {
		return errs.Wrap(err, "restore snapshot", "")
	}
	a.lastApplied = proto.CloneOf(s.Meta)
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	a.notifyApplied()
	return nil
}

// notifyApplied calls Config.OnApplied, unless the state is older than the
// entries that were known to be committed at the start.
func (a *applier) notifyApplied() {
	if a.node.cfg.OnApplied != nil && a.lastApplied.Index >= a.replayTo {
		a.node.cfg.OnApplied()
	}
}

// storeChunk stores one chunk of a snapshot from the leader. With the last chunk
// it installs the snapshot: first on disk, then in the state machine, then in
// the core.
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
	// This replica never applies the entries that the snapshot covers one by one,
	// so proposals that wait for these entries would wait forever.
	n.waiters.failAfter(0)
	n.reads.applied = max(n.reads.applied, meta.Index)
	return nil
}
