package state

import (
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// MaxRoutingTableBytes bounds the packed document or delta of one routing table
// command.
const MaxRoutingTableBytes = 512 << 10

// RoutingTable is the active routing table. It is immutable.
type RoutingTable struct {
	Number   uint64
	Document []byte
	// Command is the command that set the table. After a restore from a
	// snapshot, it holds the full document and no delta.
	Command *pb.RoutingTable
}

// applyRoutingTable activates a table if its number is above that of the active
// table. A table with an equal or lower number changes nothing. A delta that
// can't be applied to the active table is rejected, and the result asks for the
// full table.
func (m *Machine) applyRoutingTable(t *pb.RoutingTable) *pb.RoutingTableResult {
	if t.Number <= m.routing.number() {
		return &pb.RoutingTableResult{Number: m.routing.number()}
	}
	if len(t.Delta) > 0 && t.Base != m.routing.number() {
		return &pb.RoutingTableResult{Number: m.routing.number(), WholeNeeded: true}
	}
	text, err := m.documentOf(t)
	if err != nil {
		// The error depends only on the command and the state, so that all
		// replicas return the same result. The sender of a delta is asked for
		// the full table.
		return &pb.RoutingTableResult{Number: m.routing.number(), WholeNeeded: len(t.Delta) > 0}
	}
	m.routing = &RoutingTable{Number: t.Number, Document: text, Command: t}
	return &pb.RoutingTableResult{Number: t.Number}
}

// documentOf returns the document of a table, either unpacked or computed from
// the active document and the delta.
func (m *Machine) documentOf(t *pb.RoutingTable) ([]byte, error) {
	if len(t.Delta) == 0 {
		return document.Unpack(t.Document)
	}
	delta, err := document.Unpack(t.Delta)
	if err != nil {
		return nil, err
	}
	return document.Patch(m.routing.Document, delta)
}

// number returns zero for a nil table, which means that no table was set yet.
func (t *RoutingTable) number() uint64 {
	if t == nil {
		return 0
	}
	return t.Number
}

// RoutingTable returns the active routing table, or nil before the first one.
func (m *Machine) RoutingTable() *RoutingTable {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routing
}

// packed returns the table in the form that snapshots store.
func (t *RoutingTable) packed() (*pb.RoutingTable, error) {
	data, err := document.Pack(t.Document)
	if err != nil {
		return nil, fmt.Errorf("packing the routing table: %w", err)
	}
	return &pb.RoutingTable{Number: t.Number, Document: data}, nil
}

func (m *Machine) restoreRouting(t *pb.RoutingTable) error {
	text, err := document.Unpack(t.Document)
	if err != nil {
		return err
	}
	m.routing = &RoutingTable{Number: t.Number, Document: text, Command: t}
	return nil
}
