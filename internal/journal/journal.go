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
	// segmentBytes is the size at which the journal starts a new segment.
	segmentBytes = 16 << 20

	segmentPrefix = "log-"
	tempSuffix    = ".tmp"
	lockName      = "lock"
)

// ErrFailed is returned, wrapped together with the original error, by all operations
// after a failed write or sync.
var ErrFailed = errors.New("the journal is disabled by an earlier failure")

// State is the content of the directory when it was opened.
type State struct {
	// ID is the replica's identity.
	ID        string
	HardState *pb.HardState
	// Snapshot is nil if there is no snapshot.
	Snapshot *pb.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*pb.LogEntry
	// TornBytes is the number of bytes removed from the end of the last segment because
	// a crash had interrupted their write.
	TornBytes int64
}

// Empty reports whether the replica has neither a snapshot nor log entries.
func (s *State) Empty() bool {
	return s.Snapshot == nil && len(s.Entries) == 0
}

// segment is one log file. maxIndex is the highest entry index in it.
type segment struct {
	name     string
	number   uint64
	maxIndex uint64
}

// Journal is an open journal directory. Save, the Formation methods, StoreChunk,
// InstallSnapshot and Compact must be called from one goroutine. WriteSnapshot and
// OpenSnapshot may be called concurrently with them.
type Journal struct {
	fs     FS
	lock   io.Closer
	random io.Reader

	// tail is the last segment, size its length and synced its synced length.
	tail      File
	size      int64
	synced    int64
	segments  []segment
	hardState *pb.HardState
	// failure is the error of the first failed operation; it is final.
	failure error
	// SegmentBytes is the size at which a new segment starts. It may be lowered before
	// the first Save.
	SegmentBytes int64
	syncs        uint64

	// mu guards snapshots.
	mu sync.Mutex
	// snapshots holds the indexes of the stored snapshots in ascending order.
	snapshots []uint64
	// receiver is nil while no snapshot transfer is in progress.
	receiver *snapshotReceiver
}

// Open locks the directory, creates an identity if there is none, and reads the log. A
// new identity is read from random; nil selects crypto/rand.
func Open(fs FS, random io.Reader) (*Journal, *State, error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, nil, errs.Wrap(err, "lock directory", "")
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
	if err := j.openTail(); err != nil {
		return nil, err
	}
	if len(entries) < len(r.entries) && !r.continues(meta) {
		return state, j.finishInstall(meta)
	}
	return state, nil
}

// finishInstall resets the log after a crash that came after InstallSnapshot had published the
// snapshot and before it had reset the log. Without that, the entries that follow the snapshot
// would be appended to those that the snapshot replaces.
func (j *Journal) finishInstall(meta *pb.SnapshotMeta) error {
	if err := j.resetLog(meta); err != nil {
		return err
	}
	return j.sync()
}

// resetLog writes the record that removes all entries.
func (j *Journal) resetLog(meta *pb.SnapshotMeta) error {
	return j.write(appendRecord(nil, record{kind: recordReset, index: meta.Index, synced: uint64(j.synced)}))
}

// removeTempFiles removes the temporary files of interrupted writes and returns the
// names of the other files.
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

// entriesAfter returns the entries that follow the snapshot. It returns an error if
// entries between the snapshot and the log are missing.
func entriesAfter(r *replay, meta *pb.SnapshotMeta) ([]*pb.LogEntry, error) {
	base := meta.GetIndex()
	if r.resetIndex > base {
		return nil, fmt.Errorf("the log continues after a snapshot at entry %d, but the newest snapshot ends at %d", r.resetIndex, base)
	}
	entries := r.entries
	for len(entries) > 0 && entries[0].Index <= base {
		if entries[0].Index == base && entries[0].Term != meta.Term {
			// The log conflicts with the snapshot: a crash occurred after
			// InstallSnapshot had published the snapshot and before it reset the log.
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
		return nil, 0, errors.New("the journal directory holds an identity file but no log segment")
	}
	var torn int64
	for i := range j.segments {
		if i > 0 && j.segments[i].number != j.segments[i-1].number+1 {
			return nil, 0, fmt.Errorf("log segment %s follows segment %s, a segment between them is missing", j.segments[i].name, j.segments[i-1].name)
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

// openTail removes a torn tail from the last segment and opens the segment for writing.
// A segment without a header record was never written to and is created anew.
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

// rewriteTail copies the complete records of the last segment to a new file that
// replaces it. Syncing the existing file would not be enough: after a failed sync in an
// earlier process, the page cache may still hold bytes that the kernel considers clean
// although they never reached the disk.
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

// rotateSegment syncs the current segment and starts a new one. The new segment repeats
// the hard state, so that older segments can be removed.
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
	buf := appendRecord(nil, record{kind: recordFileHeader, index: number})
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

// Save appends entries, then the hard state if it is not nil, and syncs both if sync is
// set. After an error the journal accepts no further work.
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

// guard runs fn, which performs the operation that step names. After the first failure,
// guard returns ErrFailed and does not run fn any more.
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

// Syncs returns the number of syncs of the log since the directory was opened.
func (j *Journal) Syncs() uint64 { return j.syncs }

// removeSegments removes the oldest segments whose entries a snapshot at index covers
// completely. Each removal is made durable before the next one, so that a crash leaves
// no gap between segments.
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

// Close writes a final record, syncs the log and releases the directory.
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
