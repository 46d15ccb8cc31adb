package instance

import (
	"context"
	"errors"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

// PutTable commits a routing table and returns the number in force after it. It
// goes as the difference to the table in force here, and whole if the log holds
// another one.
func (in *Routed) PutTable(ctx context.Context, number uint64, text []byte) (uint64, error) {
	if base, held := in.sync.Present(); base > 0 && base < number {
		delta, err := document.Pack(document.Diff(held, text))
		if err != nil {
			return 0, err
		}
		result, err := in.putTable(ctx, &pb.RoutingTable{Number: number, Base: base, Delta: delta})
		if err != nil || !result.WholeNeeded {
			return result.GetNumber(), err
		}
	}
	packed, err := document.Pack(text)
	if err != nil {
		return 0, err
	}
	result, err := in.putTable(ctx, &pb.RoutingTable{Number: number, Document: packed})
	return result.GetNumber(), err
}

func (in *Routed) putTable(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	if len(t.Document)+len(t.Delta) > state.MaxRoutingTableBytes {
		return nil, ErrTableTooLarge
	}
	return in.client.PutRoutingTable(ctx, t)
}

var (
	// ErrTableTooLarge means that a routing table is over the bound of the log.
	ErrTableTooLarge = errors.New("the routing table is too large")
	// ErrNoTable means that no routing table was committed yet.
	ErrNoTable = errors.New("no routing table is in force")
)

// ReadTable returns the document of the newest committed routing table, as a
// quorum confirms it. Where this instance holds that table, only its number
// travels.
func (in *Routed) ReadTable(ctx context.Context) ([]byte, error) {
	held, text := in.sync.Present()
	reply, err := in.client.Query(ctx, &pb.QueryRequest{What: pb.QueryRequest_WHAT_ROUTING_TABLE, Revision: held})
	if err != nil {
		return nil, err
	}
	switch reply.RoutingTable.GetNumber() {
	case 0:
		return nil, ErrNoTable
	case held:
		return text, nil
	default:
		return document.Unpack(reply.RoutingTable.Document)
	}
}
