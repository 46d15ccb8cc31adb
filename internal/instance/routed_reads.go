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

// largeReadBytes is the size of a routing table from which a replica redirects readers to a
// router. Replicas have links of little bandwidth: 64 KB take 0.17 s at 3 Mbit/s.
const largeReadBytes = 64 << 10

var (
	// ErrNoTable means that the log holds no routing table yet.
	ErrNoTable = errors.New("no routing table has been committed")
	// ErrTableBehind means that this instance has not received the requested table yet.
	ErrTableBehind = errors.New("this instance has not received the routing table yet")
)

// TableRead is the result of a read of the routing table.
type TableRead struct {
	// Number is the number of the newest committed table. A quorum confirmed this number
	// after the read arrived, so the read is linearizable.
	Number uint64
	// Document is the table's text.
	Document []byte
	// Router is the router from which the client should read the table instead; nil if
	// this instance should send Document. The router has the table or receives it soon.
	Router *pb.RouterStatus
}

// ReadTable reads the newest committed routing table. If the table is large and this
// instance is not a router, the result also names a router to read the table from.
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

// queryNewestTable queries the control replicas for the newest committed table, which a
// quorum confirms. If this instance already has that table, the reply holds only its number
// and the local text is returned.
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

// TableSince waits until the active table of this instance has at least the given number,
// and returns that table. If a quorum confirmed the number, the result is as recent as a
// quorum read at that time, since only committed tables become active. TableSince returns
// ErrTableBehind if no such table arrives within catchUpTimeout.
func (in *Routed) TableSince(ctx context.Context, number uint64) ([]byte, error) {
	log := routedLog{in}
	if !awaitTable(ctx, log, number) {
		return nil, errs.Wrap(ErrTableBehind, "read routing table", in.cfg.ID)
	}
	_, text := log.Current()
	return text, nil
}

// pickTableRouter returns a random serving router, preferably one that is known to have the
// numbered table or a newer one. It returns nil if no router is serving. intN returns a
// random number below its argument.
func pickTableRouter(routers []*pb.RouterStatus, number uint64, intN func(int) int) *pb.RouterStatus {
	return pickServingRouter(routers, func(r *pb.RouterStatus) bool { return r.RoutingTable >= number }, intN)
}

// pickServingRouter returns a random router among the serving routers that satisfy prefer,
// or among all serving routers if none does. It returns nil if no router is serving.
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
