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
	// maxDeltaTries bounds the attempts to commit a table as a delta.
	maxDeltaTries = 4
	// catchUpTimeout bounds the wait until this instance has received the newest table
	// in the log; catchUpPollInterval is the time between two checks.
	catchUpTimeout      = 500 * time.Millisecond
	catchUpPollInterval = 10 * time.Millisecond
)

// tableLog is the replicated log of routing tables as one instance sees it.
type tableLog interface {
	// Current returns the active table of this instance. It is committed, but may be
	// older than the newest table in the log.
	Current() (number uint64, text []byte)
	// Put proposes a table to the log and returns the outcome.
	Put(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error)
}

// PutTable commits a routing table and returns the number of the newest committed table
// afterwards, which is higher if a newer table was committed before.
func (in *Routed) PutTable(ctx context.Context, number uint64, text []byte) (uint64, error) {
	return putTable(ctx, routedLog{in}, number, text)
}

// putTable commits a table as a delta to the active table of this instance. If the log
// holds a newer table, putTable waits until this instance has received it and computes the
// delta again. After maxDeltaTries attempts, or if the newer table doesn't arrive in time,
// it commits the full table. Deltas matter because the leader sends each entry to all
// replicas, and a full table occupies its link for a second or more.
//
// A table that is not newer than a committed one changes nothing. This makes putTable safe
// when changes arrive in quick succession, at several instances and more than once.
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

// awaitTable waits until this instance has the numbered table or a newer one. It reports
// whether that happens within catchUpTimeout.
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

// ErrTableTooLarge means that a routing table exceeds the size limit of the log.
var ErrTableTooLarge = errors.New("the routing table is too large")
