package state

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// Machine is the replicated state. Apply and Restore come from one goroutine;
// reads may come from any.
type Machine struct {
	bounds Bounds

	mu sync.RWMutex
	// timeMs is the log time of the last entry; it never falls.
	timeMs int64
	// elapsedMs counts lives: the sum of the steps of log time, each of them
	// bounded by maxStep.
	elapsedMs int64
	// revision counts accepted changes.
	revision   uint64
	objects    objects
	history    history
	operations operations
	ledger     ledger
	// routing is the routing table in force.
	routing *RoutingTable
}

var _ replica.StateMachine = (*Machine)(nil)

// Option changes how New makes a machine.
type Option func(*Machine)

// WithBounds replaces the default bounds.
func WithBounds(b Bounds) Option {
	return func(m *Machine) { m.bounds = b }
}

// New makes an empty machine.
func New(opts ...Option) *Machine {
	m := &Machine{bounds: DefaultBounds()}
	for _, o := range opts {
		o(m)
	}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.timeMs = 0
	m.elapsedMs = 0
	m.revision = 0
	m.objects = newObjects()
	m.history = history{maxRecords: m.bounds.MaxHistory, maxBytes: m.bounds.MaxHistoryBytes}
	m.operations = newOperations(m.bounds)
	m.ledger = newLedger(m.bounds)
	m.routing = nil
}

// Apply executes one committed command and returns an encoded CommandResult.
// An entry without data only moves the log time. Data that is no command
// gives an empty result.
func (m *Machine) Apply(e replica.Entry) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(e.TimeMs)
	m.operations.expire(m.elapsedMs)
	m.ledger.expire(m.elapsedMs)
	if len(e.Data) == 0 {
		return nil
	}
	cmd := &pb.Command{}
	if err := proto.Unmarshal(e.Data, cmd); err != nil {
		return nil
	}
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.execute(e, cmd))
	if err != nil {
		// The results hold only fields that were checked or made here.
		panic(fmt.Sprintf("encoding the result of entry %d: %v", e.Index, err))
	}
	return out
}

// advance moves the time. A leader whose clock is far ahead of its
// predecessor's moves the log time at once, but lives by one bounded step
// only; after a pause without entries, lives are longer rather than shorter.
func (m *Machine) advance(timeMs int64) {
	if timeMs <= m.timeMs {
		return
	}
	if m.timeMs > 0 {
		m.elapsedMs += min(timeMs-m.timeMs, maxElapsedPerEntry.Milliseconds())
	}
	m.timeMs = timeMs
}

func (m *Machine) execute(e replica.Entry, cmd *pb.Command) *pb.CommandResult {
	switch body := cmd.Body.(type) {
	case *pb.Command_Change:
		return &pb.CommandResult{Body: &pb.CommandResult_Change{Change: m.applyChange(e, body.Change)}}
	case *pb.Command_Claim:
		return &pb.CommandResult{Body: &pb.CommandResult_Claim{Claim: m.ledger.claim(body.Claim, m.elapsedMs)}}
	case *pb.Command_Resolve:
		return &pb.CommandResult{Body: &pb.CommandResult_Resolve{Resolve: m.ledger.resolve(body.Resolve, m.elapsedMs)}}
	case *pb.Command_RoutingTable:
		return &pb.CommandResult{Body: &pb.CommandResult_RoutingTable{RoutingTable: m.applyRoutingTable(body.RoutingTable)}}
	}
	return &pb.CommandResult{}
}
