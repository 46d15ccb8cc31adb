package state

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// Machine holds the replicated state. Apply and Restore must be called from one
// goroutine; the other methods are safe for concurrent use.
type Machine struct {
	bounds Bounds

	mu sync.RWMutex
	// timeMs is the highest time of an applied log entry, in Unix milliseconds.
	timeMs int64
	// elapsedMs is the elapsed log time, by which entries expire: the sum of the
	// steps of timeMs, each bounded by maxElapsedPerEntry.
	elapsedMs int64
	// revision is the number of accepted changes.
	revision   uint64
	objects    objects
	history    history
	operations operations
	ledger     ledger
	// routing is the active routing table, nil before the first one.
	routing *RoutingTable
	// evacuations is the set of evacuated data centres, nil before the first one. A set
	// is not modified after it is stored here.
	evacuations *pb.Evacuations
}

var _ replica.StateMachine = (*Machine)(nil)

// Option configures a Machine.
type Option func(*Machine)

// WithBounds replaces the default bounds.
func WithBounds(b Bounds) Option {
	return func(m *Machine) { m.bounds = b }
}

// New returns an empty machine.
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
	m.evacuations = nil
}

// Apply executes one committed command and returns the encoded CommandResult.
// An entry without data only advances the log time. If the data is not a valid
// command, the result is empty.
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
		// All fields of a result were validated or created by this package.
		panic(fmt.Sprintf("encoding the result of entry %d: %v", e.Index, err))
	}
	return out
}

// advance moves the log time to timeMs. A leader whose clock is far ahead of its
// predecessor's moves the log time at once, but the elapsed time only by one
// bounded step. After a pause without log entries, entries therefore expire
// later than their TTL, never earlier.
func (m *Machine) advance(timeMs int64) {
	if timeMs <= m.timeMs {
		return
	}
	if m.timeMs > 0 {
		m.elapsedMs += min(timeMs-m.timeMs, maxElapsedPerEntry.Milliseconds())
	}
	m.timeMs = timeMs
}

// execute applies a command to the state. The result of an unknown command is
// empty.
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
	case *pb.Command_SetEvacuation:
		return &pb.CommandResult{Body: &pb.CommandResult_SetEvacuation{SetEvacuation: m.applyEvacuation(body.SetEvacuation)}}
	}
	return &pb.CommandResult{}
}
