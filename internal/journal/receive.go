package journal

import (
	"errors"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// snapshotReceiver collects the chunks of one snapshot file of one sender.
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

// StoreChunk keeps one chunk and returns the offset expected next. Once the
// file is whole, synced and checked, meta describes it, and InstallSnapshot
// must follow. A file that turns out damaged is dropped and expected again
// from its start.
func (j *Journal) StoreChunk(c Chunk) (next uint64, meta *pb.SnapshotMeta, err error) {
	err = j.guard("store snapshot chunk", func() error {
		next, meta, err = j.storeChunk(c)
		return err
	})
	return next, meta, err
}

func (j *Journal) storeChunk(c Chunk) (uint64, *pb.SnapshotMeta, error) {
	if p := j.receiver; p == nil || p.from != c.From || p.index != c.Index {
		if err := j.beginReceive(c); err != nil {
			return 0, nil, err
		}
	}
	p := j.receiver
	if c.Offset != p.size {
		return p.size, nil, nil
	}
	n, err := p.file.Write(c.Data)
	p.size += uint64(n)
	if err != nil || !c.Last {
		return p.size, nil, err
	}
	if err := p.file.Sync(); err != nil {
		return 0, nil, err
	}
	s, err := checkSnapshot(receivedName, p.file)
	var damage *DamageError
	if errors.As(err, &damage) {
		return 0, nil, j.discardReceived()
	}
	if err != nil {
		return 0, nil, err
	}
	return p.size, s.Meta, nil
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

// InstallSnapshot puts the received snapshot in place and then drops the log
// that it replaces. A crash between both leaves a snapshot newer than the log,
// which Open resolves in the snapshot's favour.
func (j *Journal) InstallSnapshot(meta *pb.SnapshotMeta, hs *pb.HardState) error {
	return j.guard("install snapshot", func() error {
		if err := j.discardReceived(); err != nil {
			return err
		}
		if err := j.publishSnapshot(receivedName, meta.Index); err != nil {
			return err
		}
		if err := j.write(appendRecord(nil, record{kind: recordReset, index: meta.Index, synced: uint64(j.synced)})); err != nil {
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
