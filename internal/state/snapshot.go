package state

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// snapshotVersion is the version of the snapshot encoding in this file.
	snapshotVersion = 1
	// snapshotBuffer is the size of the I/O buffer in bytes.
	snapshotBuffer = 256 << 10
	// ledgerBlockEntries is the maximum number of ledger entries in one record.
	ledgerBlockEntries = 512
)

// snapshotWriter writes records and counts them. The count stands in the last
// record, so that Restore detects a truncated snapshot.
type snapshotWriter struct {
	w       *bufio.Writer
	records uint64
	err     error
}

func (s *snapshotWriter) write(r *pb.SnapshotRecord) {
	if s.err != nil {
		return
	}
	s.records++
	_, s.err = protodelim.MarshalTo(s.w, r)
}

// Snapshot writes the full state to w. Equal states give equal bytes.
func (m *Machine) Snapshot(w io.Writer) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &snapshotWriter{w: bufio.NewWriterSize(w, snapshotBuffer)}
	s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_Header{Header: &pb.SnapshotHeader{
		Version:    snapshotVersion,
		Revision:   m.revision,
		TimeUnixMs: m.timeMs,
		ElapsedMs:  m.elapsedMs,
		LastRouter: m.ledger.routers.lastNumber,
	}}})
	if m.routing != nil {
		packed, err := m.routing.packed()
		if err != nil {
			return err
		}
		s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_RoutingTable{RoutingTable: packed}})
	}
	if m.evacuations != nil {
		s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_Evacuations{Evacuations: m.evacuations}})
	}
	m.writeObjects(s)
	for _, r := range m.history.records {
		s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_History{History: r}})
	}
	for _, op := range m.operations.fifo {
		s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_Operation{Operation: &pb.OperationRecord{
			OperationId: op.id,
			Digest:      op.digest[:],
			ElapsedMs:   op.createdMs,
			Result:      op.result,
		}}})
	}
	m.writeLedger(s)
	s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_End{End: &pb.SnapshotEnd{Records: s.records}}})
	return errors.Join(s.err, s.w.Flush())
}

// writeObjects writes the current versions in the order of their revisions.
func (m *Machine) writeObjects(s *snapshotWriter) {
	for _, item := range m.objects.byRevision {
		if m.objects.stale(item) {
			continue
		}
		o := m.objects.get(item.key)
		r := &pb.ObjectRecord{
			Operator:   o.operator,
			TimeUnixMs: o.timeMs,
			Term:       o.position.Term,
			Index:      o.position.Index,
		}
		if o.contract != nil {
			r.Object = &pb.ObjectRecord_Contract{Contract: o.contract}
		} else {
			r.Object = &pb.ObjectRecord_Intent{Intent: o.intent}
		}
		s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_Object{Object: r}})
	}
}

// writeLedger writes the routers, to which the entries refer by number, and then
// the claims and the releases, each oldest first.
func (m *Machine) writeLedger(s *snapshotWriter) {
	numbers := slices.SortedFunc(maps.Keys(m.ledger.routers.byNum), cmp.Compare[uint32])
	for _, n := range numbers {
		r := m.ledger.routers.at(n)
		s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_Router{Router: &pb.LedgerRouter{
			Number:      n,
			Id:          r.id,
			Incarnation: r.incarnation,
		}}})
	}
	m.writeEntries(s, &m.ledger.table.claims)
	m.writeEntries(s, &m.ledger.table.releases)
}

func (m *Machine) writeEntries(s *snapshotWriter, list *entryList) {
	block := &pb.LedgerBlock{}
	for slot := list.head; slot != noSlot; {
		e := m.ledger.table.at(slot)
		appendToBlock(block, e)
		if len(block.States) == ledgerBlockEntries {
			s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_Ledger{Ledger: block}})
			resetBlock(block)
		}
		slot = e.next
	}
	if len(block.States) > 0 {
		s.write(&pb.SnapshotRecord{Body: &pb.SnapshotRecord_Ledger{Ledger: block}})
	}
}

func appendToBlock(block *pb.LedgerBlock, e *entry) {
	block.Keys = append(block.Keys, e.key[:]...)
	block.Digests = append(block.Digests, e.digest[:]...)
	block.Routers = append(block.Routers, e.router)
	block.Incarnations = append(block.Incarnations, e.incarnation)
	block.Attempts = append(block.Attempts, e.attempt)
	block.ElapsedMs = append(block.ElapsedMs, e.createdMs)
	block.States = append(block.States, byte(e.state))
	block.Tails = append(block.Tails, []byte(e.payload))
}

// resetBlock empties the block and keeps the memory of its columns for reuse.
func resetBlock(block *pb.LedgerBlock) {
	block.Keys = block.Keys[:0]
	block.Digests = block.Digests[:0]
	block.Routers = block.Routers[:0]
	block.Incarnations = block.Incarnations[:0]
	block.Attempts = block.Attempts[:0]
	block.ElapsedMs = block.ElapsedMs[:0]
	block.States = block.States[:0]
	block.Tails = block.Tails[:0]
}

// Restore replaces the state by the snapshot read from r. After an error, the
// machine is empty.
func (m *Machine) Restore(r io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	if err := m.restore(r); err != nil {
		m.reset()
		return fmt.Errorf("restoring a snapshot: %w", err)
	}
	return nil
}
