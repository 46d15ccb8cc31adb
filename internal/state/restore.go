package state

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// maxRecordBytes bounds one snapshot record: a full block of the largest
// ledger entries.
const maxRecordBytes = 16 << 20

func (m *Machine) restore(r io.Reader) error {
	in := bufio.NewReaderSize(r, snapshotBuffer)
	opts := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}
	for n := uint64(0); ; n++ {
		record := &pb.SnapshotRecord{}
		if err := opts.UnmarshalFrom(in, record); err != nil {
			return fmt.Errorf("record %d: %w", n, err)
		}
		if end := record.GetEnd(); end != nil {
			return checkEnd(n, end)
		}
		if err := m.restoreRecord(n, record); err != nil {
			return fmt.Errorf("record %d: %w", n, err)
		}
	}
}

func checkEnd(n uint64, end *pb.SnapshotEnd) error {
	if end.Records != n {
		return fmt.Errorf("%d records, %d were written", n, end.Records)
	}
	return nil
}

func (m *Machine) restoreRecord(n uint64, record *pb.SnapshotRecord) error {
	if (n == 0) != (record.GetHeader() != nil) {
		return errors.New("the header is not the first record")
	}
	switch body := record.Body.(type) {
	case *pb.SnapshotRecord_Header:
		return m.restoreHeader(body.Header)
	case *pb.SnapshotRecord_Object:
		return m.restoreObject(body.Object)
	case *pb.SnapshotRecord_History:
		m.history.add(body.History)
		return nil
	case *pb.SnapshotRecord_Operation:
		return m.restoreOperation(body.Operation)
	case *pb.SnapshotRecord_Router:
		r := body.Router
		m.ledger.routers.put(r.Number, &ledgerRouter{id: r.Id, incarnation: r.Incarnation})
		return nil
	case *pb.SnapshotRecord_Ledger:
		return m.restoreBlock(body.Ledger)
	}
	return errors.New("unknown record")
}

func (m *Machine) restoreHeader(h *pb.SnapshotHeader) error {
	if h.Version != snapshotVersion {
		return fmt.Errorf("encoding version %d, this program reads %d", h.Version, snapshotVersion)
	}
	m.revision = h.Revision
	m.nowMs = h.TimeUnixMs
	m.ledger.routers.last = h.LastRouter
	return nil
}

func (m *Machine) restoreObject(r *pb.ObjectRecord) error {
	o := &object{
		operator: r.Operator,
		timeMs:   r.TimeUnixMs,
		at:       replica.Position{Term: r.Term, Index: r.Index},
		contract: r.GetContract(),
		intent:   r.GetIntent(),
	}
	switch {
	case o.contract != nil:
		if text := invalidContract(o.contract); text != "" {
			return errors.New(text)
		}
		m.objects.put(objectKey{kindContract, o.contract.Customer}, o)
	case o.intent != nil:
		m.objects.put(objectKey{kindIntent, o.intent.Target}, o)
	default:
		return errors.New("an object record without object")
	}
	return nil
}

func (m *Machine) restoreOperation(r *pb.OperationRecord) error {
	if len(r.Digest) != sha256.Size {
		return errors.New("an operation's digest has the wrong length")
	}
	m.operations.add(r.OperationId, [sha256.Size]byte(r.Digest), r.TimeUnixMs, r.Result)
	return nil
}

func (m *Machine) restoreBlock(block *pb.LedgerBlock) error {
	for _, r := range block.Entries {
		if err := m.ledger.restoreEntry(r); err != nil {
			return err
		}
	}
	return nil
}

func (l *ledger) restoreEntry(r *pb.LedgerEntry) error {
	if len(r.Key) != hashBytes || len(r.Digest) != hashBytes || len(r.RequestId) > MaxNameBytes {
		return errors.New("a ledger entry has a field of the wrong length")
	}
	router := l.routers.at(r.Router)
	if router == nil {
		return fmt.Errorf("a ledger entry names router number %d, which the snapshot lacks", r.Router)
	}
	if err := proto.Unmarshal(r.Answer, &pb.StoredAnswer{}); err != nil {
		return err
	}
	e := l.table.add(entryKey(r.Key), entryState(r.State), r.TimeUnixMs)
	e.router = r.Router
	router.entries++
	e.incarnation = r.Incarnation
	e.attempt = r.Attempt
	e.digest = [hashBytes]byte(r.Digest)
	if entryState(r.State) != stateReleased {
		e.setTail(r.RequestId, r.Answer)
	}
	l.answers += len(r.Answer)
	return nil
}
