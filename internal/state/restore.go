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
const maxRecordBytes = 32 << 20

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
		return m.restoreLedgerBlock(body.Ledger)
	case *pb.SnapshotRecord_RoutingTable:
		return m.restoreRouting(body.RoutingTable)
	}
	return errors.New("unknown record")
}

func (m *Machine) restoreHeader(h *pb.SnapshotHeader) error {
	if h.Version != snapshotVersion {
		return fmt.Errorf("encoding version %d, this program reads %d", h.Version, snapshotVersion)
	}
	m.revision = h.Revision
	m.timeMs = h.TimeUnixMs
	m.elapsedMs = h.ElapsedMs
	m.ledger.routers.lastNumber = h.LastRouter
	return nil
}

func (m *Machine) restoreObject(r *pb.ObjectRecord) error {
	o := &object{
		operator: r.Operator,
		timeMs:   r.TimeUnixMs,
		position: replica.Position{Term: r.Term, Index: r.Index},
		contract: r.GetContract(),
		intent:   r.GetIntent(),
	}
	switch {
	case o.contract != nil:
		if text := validateContract(o.contract); text != "" {
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
	m.operations.add(r.OperationId, [sha256.Size]byte(r.Digest), r.ElapsedMs, r.Result)
	return nil
}

func (m *Machine) restoreLedgerBlock(b *pb.LedgerBlock) error {
	n := len(b.States)
	whole := len(b.Keys) == n*hashBytes && len(b.Digests) == n*hashBytes &&
		len(b.Routers) == n && len(b.Incarnations) == n && len(b.Attempts) == n &&
		len(b.ElapsedMs) == n && len(b.Tails) == n
	if !whole {
		return errors.New("the columns of a ledger block differ in length")
	}
	for i := range n {
		if err := m.ledger.restoreEntry(b, i); err != nil {
			return err
		}
	}
	return nil
}

func (l *ledger) restoreEntry(b *pb.LedgerBlock, i int) error {
	router := l.routers.at(b.Routers[i])
	if router == nil {
		return fmt.Errorf("a ledger entry names router number %d, which the snapshot lacks", b.Routers[i])
	}
	state, tail := entryState(b.States[i]), b.Tails[i]
	if err := checkPayload(state, tail); err != nil {
		return err
	}
	key := entryKey(b.Keys[i*hashBytes : (i+1)*hashBytes])
	if _, held := l.table.find(key); held {
		return errors.New("a ledger key is there twice")
	}
	e := l.table.add(key, state, b.ElapsedMs[i])
	e.digest = [hashBytes]byte(b.Digests[i*hashBytes : (i+1)*hashBytes])
	e.router = b.Routers[i]
	router.entries++
	e.incarnation = b.Incarnations[i]
	e.attempt = b.Attempts[i]
	e.payload = string(tail)
	l.answerBytes += len(e.answer())
	return nil
}

func checkPayload(state entryState, tail []byte) error {
	switch {
	case state < stateClaimed || state > stateUnknown:
		return fmt.Errorf("unknown ledger state %d", state)
	case len(tail) == 0 && state == stateReleased:
		return nil
	case len(tail) == 0 || len(tail) < 1+int(tail[0]):
		return errors.New("a ledger entry's tail is cut")
	}
	return proto.Unmarshal(tail[1+int(tail[0]):], &pb.StoredAnswer{})
}
