package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// largeReadBytes is the size from which a replica sends readers of the table to a router.
// A replica's link is narrow: 64 KB take 0.17 s at 3 Mbit/s.
const largeReadBytes = 64 << 10

var (
	// ErrNoTable means that no routing table has been committed yet.
	ErrNoTable = errors.New("no routing table has been committed")
	// ErrTableBehind means that this instance has not received the requested table yet.
	ErrTableBehind = errors.New("this instance has not received the routing table yet")
)

// TableRead is the result of a read of the routing table.
type TableRead struct {
	// Number is the number of the newest committed table. A quorum confirmed it after
	// the read arrived, so the read is linearizable.
	Number uint64
	// Document is the table's text.
	Document []byte
	// Router is the router that the client should read the table from instead of this
	// instance; nil if it should read here. The router has the table or receives it
	// soon.
	Router *pb.RouterStatus
}

// ReadTable reads the newest committed routing table. For a large table, a replica that is
// not a router also returns a router to read it from.
func (in *Routed) ReadTable(ctx context.Context) (TableRead, error) {
	number, text, err := in.queryNewestTable(ctx)
	if err != nil {
		return TableRead{}, err
	}
	read := TableRead{Number: number, Document: text}
	if len(text) >= largeReadBytes && in.cfg.CallerAddr == "" {
		read.Router = pickTableRouter(in.members.Routers(), number, rand.IntN)
	}
	return read, nil
}

// queryNewestTable queries the control replicas for the newest committed table, as a
// quorum confirms it. If this instance already has that table, the reply holds only its
// number.
func (in *Routed) queryNewestTable(ctx context.Context) (number uint64, text []byte, err error) {
	localNumber, text := in.sync.Current()
	reply, err := in.client.Query(ctx, &pb.QueryRequest{What: pb.QueryRequest_WHAT_ROUTING_TABLE, Revision: localNumber})
	if err != nil {
		return 0, nil, err
	}
	number = reply.RoutingTable.GetNumber()
	switch number {
	case 0:
		return 0, nil, ErrNoTable
	case localNumber:
		return number, text, nil
	}
	text, err = document.Unpack(reply.RoutingTable.Document)
	return number, text, err
}

// TableSince returns the active table of this instance, and waits until its number is at
// least the given one. If a quorum has confirmed that number, the result is as new as a
// read of the quorum, since only committed tables become active. It returns
// ErrTableBehind if the table does not arrive in time.
func (in *Routed) TableSince(ctx context.Context, number uint64) ([]byte, error) {
	log := routedLog{in}
	if !awaitTable(ctx, log, number) {
		return nil, errs.Wrap(ErrTableBehind, "read routing table", in.cfg.ID)
	}
	_, text := log.Current()
	return text, nil
}

// pickTableRouter returns a random serving router, preferably one that is known to have
// the table or a newer one, or nil if there is none. intN returns a random number below
// its argument.
func pickTableRouter(routers []*pb.RouterStatus, number uint64, intN func(int) int) *pb.RouterStatus {
	return pickServingRouter(routers, func(r *pb.RouterStatus) bool { return r.RoutingTable >= number }, intN)
}

// pickServingRouter returns a random router among those that serve callers and satisfy
// prefer, or among all that serve callers if none does. It returns nil if no router serves
// callers.
func pickServingRouter(routers []*pb.RouterStatus, prefer func(*pb.RouterStatus) bool, intN func(int) int) *pb.RouterStatus {
	serving := balance.ServingRouters(routers)
	candidates := slices.DeleteFunc(slices.Clone(serving), func(r *pb.RouterStatus) bool { return !prefer(r) })
	if len(candidates) == 0 {
		candidates = serving
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[intN(len(candidates))]
}
