package instance

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

const (
	// maxDeltaTries bounds the attempts to commit a table as a delta before putTable
	// sends the full table.
	maxDeltaTries = 4
	// catchUpTimeout bounds the wait until this instance has received a table that is
	// already in the log; catchUpPollInterval is the time between two checks.
	catchUpTimeout      = 500 * time.Millisecond
	catchUpPollInterval = 10 * time.Millisecond
)

// tableLog gives one instance access to the replicated log of routing tables.
type tableLog interface {
	// Current returns the active table of this instance. This table is committed, but
	// the log may hold a newer one.
	Current() (number uint64, text []byte)
	// Put proposes a table to the log and returns the outcome.
	Put(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error)
}

// PutTable commits a routing table and returns the number of the newest committed table.
// This number is higher than the given one if a newer table is already committed.
func (in *Routed) PutTable(ctx context.Context, number uint64, text []byte) (uint64, error) {
	return putTable(ctx, routedLog{in}, number, text)
}

// putTable commits a table as a delta to the active table of this instance. If the newest
// table in the log is not the active one, putTable waits until this instance has received
// the newest one and computes the delta again. After maxDeltaTries attempts, or if the
// newest table doesn't arrive in time, putTable commits the full table. Deltas are preferred
// because the leader sends each log entry to all replicas, and a full table occupies the
// leader's link for a second or more.
//
// A table that is not newer than a committed one changes nothing. putTable is therefore safe
// when changes arrive in quick succession, at several instances or more than once.
func putTable(ctx context.Context, l tableLog, number uint64, text []byte) (uint64, error) {
	for range maxDeltaTries {
		base, baseText := l.Current()
		if base >= number {
			return base, nil
		}
		if base == 0 {
			break
		}
		delta, err := document.Pack(document.Diff(baseText, text))
		if err != nil {
			return 0, err
		}
		result, err := l.Put(ctx, &pb.RoutingTable{Number: number, Base: base, Delta: delta})
		if err != nil || !result.WholeNeeded {
			return result.GetNumber(), err
		}
		if !awaitTable(ctx, l, result.Number) {
			break
		}
	}
	packed, err := document.Pack(text)
	if err != nil {
		return 0, err
	}
	result, err := l.Put(ctx, &pb.RoutingTable{Number: number, Document: packed})
	return result.GetNumber(), err
}

// awaitTable waits up to catchUpTimeout until this instance has the numbered table or a newer
// one, and reports whether it has.
func awaitTable(ctx context.Context, l tableLog, number uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	ticker := time.NewTicker(catchUpPollInterval)
	defer ticker.Stop()
	for {
		if current, _ := l.Current(); current >= number {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// routedLog implements tableLog for a Routed instance.
type routedLog struct{ in *Routed }

// Current implements tableLog.
func (l routedLog) Current() (uint64, []byte) { return l.in.sync.Current() }

// Put implements tableLog.
func (l routedLog) Put(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	if len(t.Document)+len(t.Delta) > state.MaxRoutingTableBytes {
		return nil, ErrTableTooLarge
	}
	return l.in.client.PutRoutingTable(ctx, t)
}

// ErrTableTooLarge means that a routing table exceeds state.MaxRoutingTableBytes.
var ErrTableTooLarge = errors.New("the routing table is too large")
