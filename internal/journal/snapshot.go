package journal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// A snapshot file is a record with its SnapshotMeta, the state, and a trailer:
//
//	length    uint64  bytes before the trailer
//	checksum  uint32  CRC-32C of the bytes before the trailer
const (
	snapshotPrefix = "snapshot-"
	receivedName   = "received" + tempSuffix
	trailerBytes   = 8 + 4
	// snapshotsKept leaves one older snapshot to transfers that began with it.
	snapshotsKept = 2
	// maxMetaBytes bounds the record in front of the state.
	maxMetaBytes  = 1 << 20
	ioBufferBytes = 256 << 10
)

// ErrNoSnapshot means that a snapshot is not or no longer held.
var ErrNoSnapshot = errors.New("the snapshot is not held")

// loadSnapshots lists the snapshots, oldest first, and checks the newest.
func (j *Journal) loadSnapshots(names []string) (*pb.SnapshotMeta, error) {
	for _, name := range names {
		if index, ok := parseName(name, snapshotPrefix); ok {
			j.snapshots = append(j.snapshots, index)
		}
	}
	if len(j.snapshots) == 0 {
		return nil, nil
	}
	s, err := j.OpenSnapshot(j.snapshots[len(j.snapshots)-1])
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.Meta, nil
}

// checksumWriter counts and sums what passes.
type checksumWriter struct {
	w   io.Writer
	sum uint32
	n   uint64
}

func (s *checksumWriter) Write(p []byte) (int, error) {
	n, err := s.w.Write(p)
	s.sum = crc32.Update(s.sum, castagnoli, p[:n])
	s.n += uint64(n)
	return n, err
}

// WriteSnapshot writes the state after meta's entry aside, syncs it and puts
// it in place. It may run beside Save.
func (j *Journal) WriteSnapshot(meta *pb.SnapshotMeta, write func(io.Writer) error) error {
	name := formatName(snapshotPrefix, meta.Index)
	return errs.Wrap(j.writeSnapshot(name, meta, write), "write snapshot", "")
}

func (j *Journal) writeSnapshot(name string, meta *pb.SnapshotMeta, write func(io.Writer) error) error {
	f, err := j.fs.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	err = writeState(f, meta, write)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return j.publishSnapshot(name+tempSuffix, meta.Index)
}

func writeState(f File, meta *pb.SnapshotMeta, write func(io.Writer) error) error {
	payload, err := proto.Marshal(meta)
	if err != nil {
		return err
	}
	buffered := bufio.NewWriterSize(f, ioBufferBytes)
	sum := &checksumWriter{w: buffered}
	if _, err := sum.Write(appendRecord(nil, record{kind: recordSegment, index: meta.Index, payload: payload})); err != nil {
		return err
	}
	if err := write(sum); err != nil {
		return err
	}
	trailer := binary.LittleEndian.AppendUint64(nil, sum.n)
	trailer = binary.LittleEndian.AppendUint32(trailer, sum.sum)
	if _, err := buffered.Write(trailer); err != nil {
		return err
	}
	return buffered.Flush()
}

// publishSnapshot renames a synced file to its name and makes that last.
func (j *Journal) publishSnapshot(temp string, index uint64) error {
	if err := j.fs.Rename(temp, formatName(snapshotPrefix, index)); err != nil {
		return err
	}
	if err := j.fs.SyncDir(); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Contains(j.snapshots, index) {
		// One taken here may end after a newer one was received.
		j.snapshots = append(j.snapshots, index)
		slices.Sort(j.snapshots)
	}
	return nil
}

// Compact removes what the snapshot at index made superfluous: old segments
// and old snapshots.
func (j *Journal) Compact(index uint64) error {
	return j.guard("compact", func() error {
		if err := j.removeSegments(index); err != nil {
			return err
		}
		return j.removeOldSnapshots()
	})
}

func (j *Journal) removeOldSnapshots() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.snapshots) > snapshotsKept {
		if err := j.fs.Remove(formatName(snapshotPrefix, j.snapshots[0])); err != nil {
			return err
		}
		j.snapshots = j.snapshots[1:]
	}
	return nil
}

// Snapshot is an open, whole snapshot file.
type Snapshot struct {
	Meta *pb.SnapshotMeta
	// Size is the length of the file, which is what a transfer carries.
	Size int64

	file       File
	stateStart int64
}

// OpenSnapshot opens the snapshot at index and checks all of it.
func (j *Journal) OpenSnapshot(index uint64) (*Snapshot, error) {
	j.mu.Lock()
	held := slices.Contains(j.snapshots, index)
	j.mu.Unlock()
	if !held {
		return nil, ErrNoSnapshot
	}
	name := formatName(snapshotPrefix, index)
	f, err := j.fs.Open(name)
	if err != nil {
		return nil, err
	}
	s, err := checkSnapshot(name, f)
	if err != nil {
		f.Close()
		return nil, err
	}
	return s, nil
}

// checkSnapshot verifies a snapshot file from end to end.
func checkSnapshot(name string, f File) (*Snapshot, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	damage := func(offset int64, reason string) error {
		return &DamageError{File: name, Offset: offset, Reason: reason}
	}
	body := size - trailerBytes
	if body < recordHeaderBytes {
		return nil, damage(size, "the file is shorter than its header")
	}
	var trailer [trailerBytes]byte
	if _, err := f.ReadAt(trailer[:], body); err != nil && err != io.EOF {
		return nil, err
	}
	if length := binary.LittleEndian.Uint64(trailer[:]); length != uint64(body) {
		return nil, damage(body, fmt.Sprintf("length is %d, the trailer says %d", body, length))
	}
	sum := &checksumWriter{w: io.Discard}
	if _, err := io.CopyBuffer(sum, io.NewSectionReader(f, 0, body), make([]byte, ioBufferBytes)); err != nil {
		return nil, err
	}
	if want := binary.LittleEndian.Uint32(trailer[8:]); sum.sum != want {
		return nil, damage(0, fmt.Sprintf("checksum is %08x, expected %08x", sum.sum, want))
	}
	head := make([]byte, min(body, maxMetaBytes))
	if _, err := f.ReadAt(head, 0); err != nil && err != io.EOF {
		return nil, err
	}
	rec, n, err := parseRecord(head)
	if err != nil {
		return nil, damage(0, err.Error())
	}
	meta := &pb.SnapshotMeta{}
	if err := proto.Unmarshal(rec.payload, meta); err != nil {
		return nil, damage(0, err.Error())
	}
	return &Snapshot{Meta: meta, Size: size, file: f, stateStart: int64(n)}, nil
}

// State reads the state that the snapshot holds.
func (s *Snapshot) State() io.Reader {
	section := io.NewSectionReader(s.file, s.stateStart, s.Size-trailerBytes-s.stateStart)
	return bufio.NewReaderSize(section, ioBufferBytes)
}

// ReadChunk reads up to n bytes of the file at offset; last tells that the file
// ends there.
func (s *Snapshot) ReadChunk(offset uint64, n int) (chunk []byte, last bool, err error) {
	left := s.Size - int64(offset)
	if left <= 0 {
		return nil, true, nil
	}
	chunk = make([]byte, min(int64(n), left))
	if _, err := s.file.ReadAt(chunk, int64(offset)); err != nil && err != io.EOF {
		return nil, false, err
	}
	return chunk, int64(len(chunk)) == left, nil
}

// Close closes the file.
func (s *Snapshot) Close() error { return s.file.Close() }
