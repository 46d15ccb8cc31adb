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

// maxRecordBytes bounds one snapshot record. The largest record is a block of
// ledgerBlockEntries ledger entries with answers of Bounds.MaxAnswerBytes each,
// which takes 20 MiB with the default bounds.
const maxRecordBytes = 32 << 20

// restore reads records up to the end record into an empty machine.
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

// checkEnd compares the number of records read with the number written.
func checkEnd(n uint64, end *pb.SnapshotEnd) error {
	if end.Records != n {
		return fmt.Errorf("snapshot has %d records, but %d were written", n, end.Records)
	}
	return nil
}

func (m *Machine) restoreRecord(n uint64, record *pb.SnapshotRecord) error {
	if (n == 0) != (record.GetHeader() != nil) {
		return errors.New("snapshot must have exactly one header, as its first record")
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
	case *pb.SnapshotRecord_Evacuations:
		return m.restoreEvacuations(body.Evacuations)
	}
	return errors.New("unknown snapshot record type")
}

func (m *Machine) restoreHeader(h *pb.SnapshotHeader) error {
	if h.Version != snapshotVersion {
		return fmt.Errorf("unsupported snapshot version %d, want %d", h.Version, snapshotVersion)
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
		if reason := validateContract(o.contract); reason != "" {
			return errors.New(reason)
		}
		m.objects.put(objectKey{kindContract, o.contract.Customer}, o)
	case o.intent != nil:
		m.objects.put(objectKey{kindIntent, o.intent.Target}, o)
	default:
		return errors.New("object record holds neither a contract nor an intent")
	}
	return nil
}

func (m *Machine) restoreOperation(r *pb.OperationRecord) error {
	if len(r.Digest) != sha256.Size {
		return errors.New("operation digest has the wrong length")
	}
	m.operations.add(r.OperationId, [sha256.Size]byte(r.Digest), r.ElapsedMs, r.Result)
	return nil
}

func (m *Machine) restoreLedgerBlock(b *pb.LedgerBlock) error {
	n := len(b.States)
	equalLength := len(b.Keys) == n*hashBytes && len(b.Digests) == n*hashBytes &&
		len(b.Routers) == n && len(b.Incarnations) == n && len(b.Attempts) == n &&
		len(b.ElapsedMs) == n && len(b.Tails) == n
	if !equalLength {
		return errors.New("columns of a ledger block differ in length")
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
		return fmt.Errorf("ledger entry refers to router number %d, which is not in the snapshot", b.Routers[i])
	}
	state, payload := entryState(b.States[i]), b.Tails[i]
	if err := checkPayload(state, payload); err != nil {
		return err
	}
	key := entryKey(b.Keys[i*hashBytes : (i+1)*hashBytes])
	if _, exists := l.table.find(key); exists {
		return errors.New("duplicate ledger key")
	}
	e := l.table.add(key, state, b.ElapsedMs[i])
	e.digest = [hashBytes]byte(b.Digests[i*hashBytes : (i+1)*hashBytes])
	e.router = b.Routers[i]
	router.entries++
	e.incarnation = b.Incarnations[i]
	e.attempt = b.Attempts[i]
	e.payload = string(payload)
	l.answerBytes += len(e.answer())
	return nil
}

// checkPayload checks that the payload of an entry can be decoded.
func checkPayload(state entryState, payload []byte) error {
	switch {
	case state < stateClaimed || state > stateUnknown:
		return fmt.Errorf("unknown ledger state %d", state)
	case len(payload) == 0 && state == stateReleased:
		return nil
	case len(payload) == 0 || len(payload) < 1+int(payload[0]):
		return errors.New("payload of a ledger entry is truncated")
	}
	return proto.Unmarshal(payload[1+int(payload[0]):], &pb.StoredAnswer{})
}
