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

// largeReadBytes is the size from which a router answers a read in place of a
// replica, whose link is narrow: 64 KB take 0.17 s at 3 Mbit/s.
const largeReadBytes = 64 << 10

var (
	// ErrNoTable means that no routing table was committed yet.
	ErrNoTable = errors.New("no routing table is in force")
	// ErrTableBehind means that the table asked for has not reached this instance.
	ErrTableBehind = errors.New("the routing table has not arrived here")
)

// TableRead answers a read of the routing table.
type TableRead struct {
	// Number is that of the newest committed table, as a quorum confirmed it after
	// the read came.
	Number uint64
	// Document is the table's text.
	Document []byte
	// Router is better read from than this instance: it has the table or gets it
	// soon. Nil if there is none.
	Router *pb.RouterStatus
}

// ReadTable reads the newest committed routing table. A replica names a router to
// read a large one from.
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

// queryNewestTable returns the newest committed table as a quorum confirms it. Where
// this instance holds that table, only its number travels.
func (in *Routed) queryNewestTable(ctx context.Context) (number uint64, text []byte, err error) {
	held, text := in.sync.Current()
	reply, err := in.client.Query(ctx, &pb.QueryRequest{What: pb.QueryRequest_WHAT_ROUTING_TABLE, Revision: held})
	if err != nil {
		return 0, nil, err
	}
	number = reply.RoutingTable.GetNumber()
	switch number {
	case 0:
		return 0, nil, ErrNoTable
	case held:
		return number, text, nil
	}
	text, err = document.Unpack(reply.RoutingTable.Document)
	return number, text, err
}

// TableSince returns the table in force here once it has the number or a higher
// one. Only committed tables come into force, so that one is as new as the number
// that a quorum confirmed.
func (in *Routed) TableSince(ctx context.Context, number uint64) ([]byte, error) {
	log := routedLog{in}
	if !awaitTable(ctx, log, number) {
		return nil, errs.Wrap(ErrTableBehind, "read routing table", in.cfg.ID)
	}
	_, text := log.Current()
	return text, nil
}

// pickTableRouter returns one of the routers that serve callers, one that has the
// table if any is known to; nil without routers. draw returns a number below its
// argument.
func pickTableRouter(routers []*pb.RouterStatus, number uint64, draw func(int) int) *pb.RouterStatus {
	return pickServingRouter(routers, func(r *pb.RouterStatus) bool { return r.RoutingTable >= number }, draw)
}

// pickServingRouter draws one of the routers that serve callers, a preferred one if there
// are any; nil without routers.
func pickServingRouter(routers []*pb.RouterStatus, preferred func(*pb.RouterStatus) bool, draw func(int) int) *pb.RouterStatus {
	serving := balance.ServingRouters(routers)
	best := slices.DeleteFunc(slices.Clone(serving), func(r *pb.RouterStatus) bool { return !preferred(r) })
	if len(best) == 0 {
		best = serving
	}
	if len(best) == 0 {
		return nil
	}
	return best[draw(len(best))]
}
