package journal

import (
	"errors"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// snapshotReceiver stores the chunks of one snapshot file from one sender. A chunk from
// another sender or of another snapshot discards the file and starts a new one.
type snapshotReceiver struct {
	from  string
	index uint64
	file  File
	size  uint64
}

// Chunk is one part of a snapshot file that a peer sends.
type Chunk struct {
	From   string
	Index  uint64
	Offset uint64
	Data   []byte
	Last   bool
}

// StoreChunk stores one chunk and returns the offset of the next expected chunk. Once
// the file is complete, synced and verified, meta is its description, and the caller
// must call InstallSnapshot. If the verification fails, the file is discarded and the
// next expected offset is 0.
func (j *Journal) StoreChunk(c Chunk) (next uint64, meta *pb.SnapshotMeta, err error) {
	err = j.guard("store snapshot chunk", func() error {
		next, meta, err = j.storeChunk(c)
		return err
	})
	return next, meta, err
}

func (j *Journal) storeChunk(c Chunk) (uint64, *pb.SnapshotMeta, error) {
	if r := j.receiver; r == nil || r.from != c.From || r.index != c.Index {
		if err := j.beginReceive(c); err != nil {
			return 0, nil, err
		}
	}
	r := j.receiver
	if c.Offset != r.size {
		return r.size, nil, nil
	}
	n, err := r.file.Write(c.Data)
	r.size += uint64(n)
	if err != nil || !c.Last {
		return r.size, nil, err
	}
	if err := r.file.Sync(); err != nil {
		return 0, nil, err
	}
	s, err := checkSnapshot(receivedName, r.file)
	var damage *DamageError
	if errors.As(err, &damage) {
		return 0, nil, j.discardReceived()
	}
	if err != nil {
		return 0, nil, err
	}
	return r.size, s.Meta, nil
}

func (j *Journal) beginReceive(c Chunk) error {
	if err := j.discardReceived(); err != nil {
		return err
	}
	f, err := j.fs.Create(receivedName)
	if err != nil {
		return err
	}
	j.receiver = &snapshotReceiver{from: c.From, index: c.Index, file: f}
	return nil
}

func (j *Journal) discardReceived() error {
	if j.receiver == nil {
		return nil
	}
	f := j.receiver.file
	j.receiver = nil
	return f.Close()
}

// InstallSnapshot publishes the received snapshot and then resets the log that it
// replaces. A crash between these two steps leaves a snapshot that is newer than the
// log; Open then gives the snapshot precedence and resets the log.
func (j *Journal) InstallSnapshot(meta *pb.SnapshotMeta, hs *pb.HardState) error {
	return j.guard("install snapshot", func() error {
		if err := j.discardReceived(); err != nil {
			return err
		}
		if err := j.publishSnapshot(receivedName, meta.Index); err != nil {
			return err
		}
		if err := j.resetLog(meta); err != nil {
			return err
		}
		if err := j.save(hs, nil, true); err != nil {
			return err
		}
		if err := j.removeSegments(meta.Index); err != nil {
			return err
		}
		return j.removeOldSnapshots()
	})
}
