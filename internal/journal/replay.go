package journal

import (
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// DamageError reports stored data that is invalid and that a crash cannot have left in
// this state, such as bytes that have changed since they were synced.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file and the offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("journal file %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// replay rebuilds the state of the log from its records.
type replay struct {
	hardState *pb.HardState
	entries   []*pb.LogEntry
	// resetIndex is the index in the last reset record, which is the index of the
	// snapshot that the log follows, or zero if there is none.
	resetIndex uint64
}

func (r *replay) apply(rec record) error {
	switch rec.kind {
	case recordEntry:
		e := &pb.LogEntry{}
		if err := proto.Unmarshal(rec.payload, e); err != nil {
			return err
		}
		if e.Index != rec.index {
			return fmt.Errorf("record with index %d holds the entry with index %d", rec.index, e.Index)
		}
		return r.addEntry(e)
	case recordHardState:
		hs := &pb.HardState{}
		if err := proto.Unmarshal(rec.payload, hs); err != nil {
			return err
		}
		r.hardState = hs
	case recordReset:
		r.entries = nil
		r.resetIndex = rec.index
	case recordFileHeader, recordClose:
	default:
		return fmt.Errorf("unknown record kind %d", rec.kind)
	}
	return nil
}

// addEntry appends e and removes existing entries from its index on.
func (r *replay) addEntry(e *pb.LogEntry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	last := r.entries[len(r.entries)-1].Index
	switch {
	case e.Index > last+1:
		return fmt.Errorf("entry %d follows entry %d, the entries between them are missing", e.Index, last)
	case e.Index < first:
		r.entries = r.entries[:0]
	default:
		r.entries = r.entries[:e.Index-first]
	}
	r.entries = append(r.entries, e)
	return nil
}

// continues reports whether the entry after the snapshot can follow the entries in the log: they
// reach the snapshot's last entry, and it is the same one.
func (r *replay) continues(meta *pb.SnapshotMeta) bool {
	for _, e := range r.entries {
		if e.Index == meta.GetIndex() {
			return e.Term == meta.Term
		}
	}
	return false
}

// segmentScan is the result of reading one segment.
type segmentScan struct {
	// validBytes is the length of the complete records.
	validBytes int64
	// tornBytes is the length of the torn tail after them.
	tornBytes int64
	// maxIndex is the highest entry index in the segment.
	maxIndex uint64
}

// scan replays the segment in f. The segment must have the given number. Only the last
// segment may have a torn tail.
func (r *replay) scan(name string, f File, number uint64, last bool) (segmentScan, error) {
	data, err := readAll(f)
	if err != nil {
		return segmentScan{}, err
	}
	var s segmentScan
	for s.validBytes < int64(len(data)) {
		rec, n, err := parseRecord(data[s.validBytes:])
		if err == nil && s.validBytes == 0 && (rec.kind != recordFileHeader || rec.index != number) {
			err = fmt.Errorf("the segment does not start with a header record for segment number %d", number)
		}
		if err != nil {
			if !last || syncedBeyond(data[s.validBytes:], uint64(s.validBytes)) {
				return s, &DamageError{File: name, Offset: s.validBytes, Reason: err.Error()}
			}
			s.tornBytes = int64(len(data)) - s.validBytes
			return s, nil
		}
		if err := r.apply(rec); err != nil {
			return s, &DamageError{File: name, Offset: s.validBytes, Reason: err.Error()}
		}
		if rec.kind == recordEntry {
			s.maxIndex = max(s.maxIndex, rec.index)
		}
		s.validBytes += int64(n)
	}
	return s, nil
}

func readAll(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := f.ReadAt(data, 0); err != nil && err != io.EOF {
		return nil, err
	}
	return data, nil
}
