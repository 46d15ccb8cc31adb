package state

import (
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// MaxRoutingTableBytes bounds the packed document or delta of a routing table.
const MaxRoutingTableBytes = 512 << 10

// RoutingTable is the routing table in force. It never changes.
type RoutingTable struct {
	Number   uint64
	Document []byte
	// Command is the command that brought it; its delta is empty after a
	// restart.
	Command *pb.RoutingTable
}

// applyRoutingTable puts a table in force if its number is above the present one. A
// table with an equal or lower number changes nothing.
func (m *Machine) applyRoutingTable(t *pb.RoutingTable) *pb.RoutingTableResult {
	if t.Number <= m.routing.number() {
		return &pb.RoutingTableResult{Number: m.routing.number()}
	}
	if len(t.Delta) > 0 && t.Base != m.routing.number() {
		return &pb.RoutingTableResult{Number: m.routing.number(), WholeNeeded: true}
	}
	text, err := m.documentOf(t)
	if err != nil {
		// Every replica finds the same; the sender is told to send it whole.
		return &pb.RoutingTableResult{Number: m.routing.number(), WholeNeeded: len(t.Delta) > 0}
	}
	m.routing = &RoutingTable{Number: t.Number, Document: text, Command: t}
	return &pb.RoutingTableResult{Number: t.Number}
}

// documentOf returns the text of a table, whole or as a change of the present
// one.
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

// number is zero before the first table.
func (t *RoutingTable) number() uint64 {
	if t == nil {
		return 0
	}
	return t.Number
}

// RoutingTable returns the table in force, nil before the first one.
func (m *Machine) RoutingTable() *RoutingTable {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routing
}

// packed is the table as snapshots hold it.
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
