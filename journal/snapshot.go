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

// A snapshot file consists of a record with its SnapshotMeta, the state of the state
// machine, and a trailer:
//
//	length    uint64  bytes before the trailer
//	checksum  uint32  CRC-32C of the bytes before the trailer
const (
	snapshotPrefix = "snapshot-"
	receivedName   = "received" + tempSuffix
	trailerBytes   = 8 + 4
	// snapshotsKept leaves one older snapshot for transfers that started with it.
	snapshotsKept = 2
	// maxMetaBytes is the maximum size of the record with the SnapshotMeta.
	maxMetaBytes  = 1 << 20
	ioBufferBytes = 256 << 10
)

// ErrNoSnapshot is returned for a snapshot that does not exist or was removed.
var ErrNoSnapshot = errors.New("the snapshot does not exist or was removed")

// loadSnapshots lists the snapshots, oldest first, and verifies the newest one.
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

// checksumWriter counts the bytes written to w and computes their checksum.
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

// WriteSnapshot stores the state that follows from the entry at meta.Index: it writes a
// temporary file with write, syncs it and renames it. It may run concurrently with
// Save.
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
	if _, err := sum.Write(appendRecord(nil, record{kind: recordFileHeader, index: meta.Index, payload: payload})); err != nil {
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

// publishSnapshot renames a synced temporary file to its final name and makes the
// rename durable.
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
		// Sort, since a local snapshot may complete after a newer one was received.
		j.snapshots = append(j.snapshots, index)
		slices.Sort(j.snapshots)
	}
	return nil
}

// Compact removes the segments that the snapshot at index covers, and old snapshots.
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

// Snapshot is an open snapshot file that was verified completely.
type Snapshot struct {
	Meta *pb.SnapshotMeta
	// Size is the length of the file, which is the length of a transfer.
	Size int64

	file       File
	stateStart int64
}

// OpenSnapshot opens the snapshot at index and verifies its checksum.
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

// checkSnapshot verifies the length, the checksum and the metadata of a snapshot file.
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
		return nil, damage(size, "the file is shorter than a snapshot header and trailer")
	}
	var trailer [trailerBytes]byte
	if _, err := f.ReadAt(trailer[:], body); err != nil && err != io.EOF {
		return nil, err
	}
	if length := binary.LittleEndian.Uint64(trailer[:]); length != uint64(body) {
		return nil, damage(body, fmt.Sprintf("length before the trailer is %d, the trailer records %d", body, length))
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

// State returns a reader of the state in the snapshot.
func (s *Snapshot) State() io.Reader {
	section := io.NewSectionReader(s.file, s.stateStart, s.Size-trailerBytes-s.stateStart)
	return bufio.NewReaderSize(section, ioBufferBytes)
}

// ReadChunk reads up to n bytes of the file at offset; last reports whether the file
// ends with this chunk.
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

// Close closes the snapshot file.
func (s *Snapshot) Close() error { return s.file.Close() }
