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
	// maxDeltaTries bounds the tries to commit a table as a difference.
	maxDeltaTries = 4
	// catchUpTimeout bounds the wait for the table that the log holds, and
	// catchUpPause lies between two looks.
	catchUpTimeout      = 500 * time.Millisecond
	catchUpPollInterval = 10 * time.Millisecond
)

// tableLog is the replicated log as one instance sees it.
type tableLog interface {
	// Current returns the committed table that is in force here; it may be older
	// than the one in the log.
	Current() (number uint64, text []byte)
	// Put commits a table and returns what the log holds after it.
	Put(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error)
}

// PutTable commits a routing table and returns the number in force after it.
func (in *Routed) PutTable(ctx context.Context, number uint64, text []byte) (uint64, error) {
	return putTable(ctx, routedLog{in}, number, text)
}

// putTable commits a table as the difference to the one in force here. If the log
// has moved on, it waits for that table to come and takes the difference to it: a
// whole table fills the leader's link for a second or more, as it goes to each
// replica. A table that is not newer than a committed one changes nothing. It
// answers changes that come in quick succession, at several instances and twice.
func putTable(ctx context.Context, l tableLog, number uint64, text []byte) (uint64, error) {
	for range maxDeltaTries {
		base, held := l.Current()
		if base >= number {
			return base, nil
		}
		if base == 0 {
			break
		}
		delta, err := document.Pack(document.Diff(held, text))
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

// awaitTable waits until a table or a newer one is in force here; false if it
// doesn't come in time.
func awaitTable(ctx context.Context, l tableLog, number uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	ticker := time.NewTicker(catchUpPollInterval)
	defer ticker.Stop()
	for {
		if present, _ := l.Current(); present >= number {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// routedLog is the log of a routed instance.
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

// ErrTableTooLarge means that a routing table is over the bound of the log.
var ErrTableTooLarge = errors.New("the routing table is too large")
