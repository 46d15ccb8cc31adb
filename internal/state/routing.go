package state

import (
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// MaxRoutingTableBytes bounds the compressed document of a routing table.
const MaxRoutingTableBytes = 512 << 10

// routingTable puts a table in force if its number is above the present one.
// A table with an equal or lower number changes nothing.
func (m *Machine) routingTable(t *pb.RoutingTable) *pb.RoutingTableResult {
	if t.Number > m.routing.GetNumber() && len(t.Document) <= MaxRoutingTableBytes {
		m.setRouting(proto.CloneOf(t))
	}
	return &pb.RoutingTableResult{Number: m.routing.GetNumber()}
}

func (m *Machine) setRouting(t *pb.RoutingTable) {
	m.routing = t
	if m.onRouting != nil {
		m.onRouting(t)
	}
}

// WithRoutingObserver has fn told of each routing table that comes into force.
// fn must not block or call the machine; the message is shared.
func WithRoutingObserver(fn func(*pb.RoutingTable)) Option {
	return func(m *Machine) { m.onRouting = fn }
}

// RoutingTable returns the table in force, nil before the first one. The
// message is shared and must not be changed.
func (m *Machine) RoutingTable() *pb.RoutingTable {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routing
}
