// Package replica runs one control replica, a member of the Raft cluster that
// holds the control state. It connects the Raft core (package consensus) with the
// journal on disk, the transport between replicas and the state machine. It also
// bootstraps the cluster, admits and removes members, and grants the leader
// lease.
//
// The package knows nothing of the commands in the log: they belong to the
// StateMachine. The Raft protocol itself is in package consensus.
package replica

import (
	"context"
	"io"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Position identifies a log entry. Positions order by term, then by index, and
// increase with each entry, so that they serve as fencing tokens of orders.
type Position struct {
	Term  uint64
	Index uint64
}

// Entry is one committed log entry.
type Entry struct {
	Position
	// TimeMs is the leader's clock at the proposal, in Unix milliseconds. It never
	// decreases from one entry to the next.
	TimeMs int64
	Data   []byte
}

// StateMachine is the replicated state machine. Its methods are never called
// concurrently, and Apply is called in log order. It must be deterministic: the
// same entries give the same state and results on every replica.
type StateMachine interface {
	// Apply executes a committed entry and returns its result.
	Apply(e Entry) []byte
	// Snapshot writes the full state.
	Snapshot(w io.Writer) error
	// Restore replaces the full state.
	Restore(r io.Reader) error
}

// RaftNode is the interface of a Node for the services of a control replica: proposals,
// reads, the leader lease and membership changes.
type RaftNode interface {
	// Propose commits data and returns the result of applying it on this replica.
	// It fails with ErrNotLeader if data is not committed and will not be, and with
	// ErrOutcomeUnknown if it may or may not get committed. ErrOverloaded and
	// ErrTooLarge mean that nothing was appended.
	Propose(ctx context.Context, data []byte) (result []byte, at Position, err error)
	// ReadIndex returns after a quorum has confirmed, since the call, that this
	// replica is the leader, and after this replica has applied all entries that
	// were committed before the call. A read of the local state is then
	// linearizable.
	ReadIndex(ctx context.Context) (Position, error)
	// LeaderLease returns the end of this replica's leader lease, on the local
	// monotonic clock, and its term. The lease is confirmed by a quorum. A leader
	// may cause effects outside the log, such as orders to targets, only while
	// it holds the lease. ok reports whether this replica holds it now.
	LeaderLease() (until time.Time, term uint64, ok bool)
	// Leader returns the ID and the peer address of the leader, empty if unknown.
	Leader() (id, addr string)
	// Replicas returns the members of the Raft group as this replica knows them.
	Replicas() []*pb.ReplicaInfo
	// AddReplica admits a replica as a learner. The learner becomes a voter once
	// it has synced all entries that were committed when the leader admitted it.
	AddReplica(ctx context.Context, id, addr, dataCentre string) error
	// RemoveReplica removes the replica with this ID.
	RemoveReplica(ctx context.Context, id string) error
}
