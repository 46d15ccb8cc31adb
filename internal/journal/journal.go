package journal

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// segmentBytes is the size after which a new segment is begun.
	segmentBytes = 16 << 20

	segmentPrefix = "log-"
	tempSuffix    = ".tmp"
	lockName      = "lock"
)

// ErrFailed marks all calls after a failed write or sync.
var ErrFailed = errors.New("the journal failed before")

// State is what the folder held when it was opened.
type State struct {
	// ID is the replica's identity.
	ID        string
	HardState *pb.HardState
	// Snapshot is nil if none was taken yet.
	Snapshot *pb.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*pb.LogEntry
	// TornBytes were cut off the tail.
	TornBytes int64
}

// Empty tells whether the replica holds no part of a log yet.
func (s *State) Empty() bool {
	return s.Snapshot == nil && len(s.Entries) == 0
}

type segment struct {
	name     string
	number   uint64
	maxIndex uint64
}

// Journal is an open folder. Save and the snapshot calls come from one
// goroutine; reading snapshots may happen beside them.
type Journal struct {
	fs     FS
	lock   io.Closer
	random io.Reader

	tail      File
	size      int64
	synced    int64
	segments  []segment
	hardState *pb.HardState
	failure   error
	// SegmentBytes may be lowered before the first Save.
	SegmentBytes int64
	syncs        uint64

	mu        sync.Mutex
	snapshots []uint64
	receiver  *snapshotReceiver
}

// Open locks the folder, makes an identity if it has none, and reads the log.
// Identities are drawn from random; nil means the system's own source.
func Open(fs FS, random io.Reader) (*Journal, *State, error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, nil, errs.Wrap(err, "lock folder", "")
	}
	if random == nil {
		random = rand.Reader
	}
	j := &Journal{fs: fs, lock: lock, SegmentBytes: segmentBytes, random: random}
	state, err := j.load()
	if err != nil {
		lock.Close()
		return nil, nil, errs.Wrap(err, "open journal", "")
	}
	return j, state, nil
}

func (j *Journal) load() (*State, error) {
	names, err := j.removeTempFiles()
	if err != nil {
		return nil, err
	}
	id, err := j.loadIdentity(names)
	if err != nil {
		return nil, err
	}
	if id == "" {
		id, err = j.initialise(names)
		return &State{ID: id}, err
	}
	meta, err := j.loadSnapshots(names)
	if err != nil {
		return nil, err
	}
	r, torn, err := j.loadSegments(names)
	if err != nil {
		return nil, err
	}
	j.hardState = r.hardState
	entries, err := entriesAfter(r, meta)
	if err != nil {
		return nil, err
	}
	state := &State{ID: id, HardState: r.hardState, Snapshot: meta, Entries: entries, TornBytes: torn}
	return state, j.openTail()
}

// removeTempFiles removes what an unfinished write left and lists the rest.
func (j *Journal) removeTempFiles() ([]string, error) {
	all, err := j.fs.List()
	if err != nil {
		return nil, err
	}
	names := all[:0:0]
	for _, name := range all {
		if !strings.HasSuffix(name, tempSuffix) {
			names = append(names, name)
			continue
		}
		if err := j.fs.Remove(name); err != nil {
			return nil, err
		}
	}
	return names, nil
}

// entriesAfter returns the entries that follow the snapshot.
func entriesAfter(r *replay, meta *pb.SnapshotMeta) ([]*pb.LogEntry, error) {
	base := meta.GetIndex()
	if r.resetIndex > base {
		return nil, fmt.Errorf("the log continues after entry %d, but the snapshot ends at %d", r.resetIndex, base)
	}
	entries := r.entries
	for len(entries) > 0 && entries[0].Index <= base {
		if entries[0].Index == base && entries[0].Term != meta.Term {
			// The snapshot replaced a log that contradicted it.
			return nil, nil
		}
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Index != base+1 {
		return nil, fmt.Errorf("the log starts at entry %d, but the snapshot ends at %d", entries[0].Index, base)
	}
	return entries, nil
}

func (j *Journal) loadSegments(names []string) (*replay, int64, error) {
	r := &replay{}
	for _, name := range names {
		if number, ok := parseName(name, segmentPrefix); ok {
			j.segments = append(j.segments, segment{name: name, number: number})
		}
	}
	if len(j.segments) == 0 {
		return nil, 0, errors.New("the folder holds an identity but no log")
	}
	var torn int64
	for i := range j.segments {
		if i > 0 && j.segments[i].number != j.segments[i-1].number+1 {
			return nil, 0, fmt.Errorf("%s follows %s", j.segments[i].name, j.segments[i-1].name)
		}
		last := i == len(j.segments)-1
		scan, err := j.loadSegment(r, &j.segments[i], last)
		if err != nil {
			return nil, 0, err
		}
		torn = scan.tornBytes
		if last {
			j.size = scan.validBytes
		}
	}
	return r, torn, nil
}

func (j *Journal) loadSegment(r *replay, seg *segment, last bool) (segmentScan, error) {
	f, err := j.fs.Open(seg.name)
	if err != nil {
		return segmentScan{}, err
	}
	scan, err := r.scan(seg.name, f, seg.number, last)
	seg.maxIndex = scan.maxIndex
	if err != nil || !last {
		return scan, errors.Join(err, f.Close())
	}
	j.tail = f
	return scan, nil
}

// openTail makes the last segment ready for writing, without a torn tail. A
// segment without its first record was never written to.
func (j *Journal) openTail() error {
	last := j.segments[len(j.segments)-1]
	old := j.tail
	if j.size > 0 {
		return errors.Join(j.rewriteTail(last.name), old.Close())
	}
	j.tail = nil
	j.segments = j.segments[:len(j.segments)-1]
	if err := errors.Join(old.Close(), j.fs.Remove(last.name)); err != nil {
		return err
	}
	return j.rotateSegment()
}

// rewriteTail copies the whole records of the last segment to a new file in
// its place. Syncing the old file would not do: if an earlier process ended
// after a failed sync, the system may show bytes that it takes for written and
// that never reached the disk.
func (j *Journal) rewriteTail(name string) error {
	data := make([]byte, j.size)
	if _, err := j.tail.ReadAt(data, 0); err != nil && err != io.EOF {
		return err
	}
	f, err := j.replaceFile(name, data)
	if err != nil {
		return err
	}
	j.tail = f
	j.synced = j.size
	return nil
}

// rotateSegment begins a new segment, after the present one is synced. It repeats the
// hard state, so that older segments can go.
func (j *Journal) rotateSegment() error {
	number := uint64(1)
	if n := len(j.segments); n > 0 {
		number = j.segments[n-1].number + 1
	}
	if j.tail != nil {
		if err := errors.Join(j.tail.Sync(), j.tail.Close()); err != nil {
			return err
		}
	}
	name := formatName(segmentPrefix, number)
	f, err := j.fs.Create(name)
	if err != nil {
		return err
	}
	j.tail = f
	j.size, j.synced = 0, 0
	j.segments = append(j.segments, segment{name: name, number: number})
	buf := appendRecord(nil, record{kind: recordSegment, index: number})
	if j.hardState != nil {
		if buf, err = j.appendHardState(buf, j.hardState); err != nil {
			return err
		}
	}
	if err := j.write(buf); err != nil {
		return err
	}
	if err := j.sync(); err != nil {
		return err
	}
	return j.fs.SyncDir()
}

func (j *Journal) appendHardState(buf []byte, hs *pb.HardState) ([]byte, error) {
	payload, err := proto.Marshal(hs)
	if err != nil {
		return nil, err
	}
	return appendRecord(buf, record{kind: recordHardState, index: hs.Commit, synced: uint64(j.synced), payload: payload}), nil
}

// Save writes entries, then the hard state if it is not nil, and syncs both if
// sync is set. An error is final.
func (j *Journal) Save(hs *pb.HardState, entries []*pb.LogEntry, sync bool) error {
	return j.guard("save", func() error { return j.save(hs, entries, sync) })
}

func (j *Journal) save(hs *pb.HardState, entries []*pb.LogEntry, sync bool) error {
	if j.size >= j.SegmentBytes {
		if err := j.rotateSegment(); err != nil {
			return err
		}
	}
	var buf []byte
	for _, e := range entries {
		payload, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		buf = appendRecord(buf, record{kind: recordEntry, index: e.Index, synced: uint64(j.synced), payload: payload})
		tail := &j.segments[len(j.segments)-1]
		tail.maxIndex = max(tail.maxIndex, e.Index)
	}
	if hs != nil {
		var err error
		if buf, err = j.appendHardState(buf, hs); err != nil {
			return err
		}
		j.hardState = hs
	}
	if err := j.write(buf); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	return j.sync()
}

// guard runs one step; its failure is remembered and ends all later work.
func (j *Journal) guard(step string, fn func() error) error {
	if j.failure != nil {
		return errs.Wrap(errors.Join(ErrFailed, j.failure), step, "")
	}
	if err := fn(); err != nil {
		j.failure = err
		return errs.Wrap(err, step, "")
	}
	return nil
}

func (j *Journal) write(buf []byte) error {
	if len(buf) == 0 {
		return nil
	}
	n, err := j.tail.Write(buf)
	j.size += int64(n)
	return err
}

func (j *Journal) sync() error {
	if err := j.tail.Sync(); err != nil {
		return err
	}
	j.synced = j.size
	j.syncs++
	return nil
}

// Syncs returns the number of log syncs since the folder was opened.
func (j *Journal) Syncs() uint64 { return j.syncs }

// removeSegments removes the oldest segments whose entries are all covered by a
// snapshot at index. Each removal lasts before the next begins, so that a crash
// leaves no gap between segments.
func (j *Journal) removeSegments(index uint64) error {
	for len(j.segments) > 1 && j.segments[0].maxIndex <= index {
		if err := j.fs.Remove(j.segments[0].name); err != nil {
			return err
		}
		if err := j.fs.SyncDir(); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	return nil
}

// Close marks the end of the log and releases the folder.
func (j *Journal) Close() error {
	var err error
	if j.failure == nil {
		err = j.write(appendRecord(nil, record{kind: recordClose, synced: uint64(j.synced)}))
		if err == nil {
			err = j.sync()
		}
	}
	return errors.Join(err, j.tail.Close(), j.lock.Close())
}
