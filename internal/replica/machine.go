// Package replica runs one control replica: it drives the agreement core with
// the journal below it and the transport around it.
package replica

import (
	"context"
	"io"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Position is a place in the log. As a fencing number it grows with each
// order, first by term, then by index.
type Position struct {
	Term  uint64
	Index uint64
}

// Entry is one committed log entry.
type Entry struct {
	Position
	// Time is the leader's clock at proposal, in Unix milliseconds; it never
	// falls from one entry to the next.
	TimeMs int64
	Data   []byte
}

// StateMachine is the replicated state machine. Calls come from one goroutine, in
// log order; the same entries give the same state and results everywhere.
type StateMachine interface {
	// Apply executes a committed entry and returns its result.
	Apply(e Entry) []byte
	// Snapshot writes the whole state.
	Snapshot(w io.Writer) error
	// Restore replaces the whole state.
	Restore(r io.Reader) error
}

// Log is what the services of a control replica use of the node.
type Log interface {
	// Propose commits data and returns the result of applying it here. It
	// fails with ErrNotLeader before anything was appended, or with
	// ErrOutcomeUnknown if the entry may or may not be committed.
	Propose(ctx context.Context, data []byte) (result []byte, at Position, err error)
	// ReadIndex returns once this leader was confirmed by a quorum after the
	// call and all entries committed before the call are applied here.
	ReadIndex(ctx context.Context) (Position, error)
	// LeaderLease returns the end of the quorum-confirmed period in which this
	// leader may act outward, on the local monotonic clock, and its term;
	// ok is false if it may not act now.
	LeaderLease() (until time.Time, term uint64, ok bool)
	// Leader returns the known leader's id and peer address, empty if unknown.
	Leader() (id, addr string)
	// Replicas returns the members of the log as this replica knows them.
	Replicas() []*pb.ReplicaInfo
	// AddReplica admits a replica: as a learner first, as a voter once it has
	// synced all that was committed when it asked.
	AddReplica(ctx context.Context, id, addr, dataCentre string) error
	// RemoveReplica removes a replica by id.
	RemoveReplica(ctx context.Context, id string) error
}
