package limits

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// servingRouters returns the ids of the routers that may be a home, and their peer
// addresses. Draining ones are left out, so that homes move before they end.
func (l *Limiter) servingRouters() map[string]string {
	addrs := make(map[string]string)
	for _, r := range l.cfg.View.Routers() {
		if r.State == pb.RouterState_ROUTER_STATE_SERVING {
			addrs[r.Id] = r.PeerAddr
		}
	}
	return addrs
}

// owner returns the home router of a customer and its peer address.
func (l *Limiter) owner(customer string) (id, addr string) {
	addrs := l.servingRouters()
	ids := make([]string, 0, len(addrs))
	for id := range addrs {
		ids = append(ids, id)
	}
	id = fleet.Owner("customer/"+customer, ids)
	return id, addrs[id]
}

// requestShare asks the customer's home, which may be this router, for a share.
func (l *Limiter) requestShare(ctx context.Context, ask Request, limits *pb.Limits) (Amount, time.Duration, error) {
	id, addr := l.owner(ask.Customer)
	if id == "" {
		return Amount{}, 0, errs.New(methodAllocate, "", "no serving router is known")
	}
	if id == l.cfg.Self {
		return l.allocateLocally(ask), ShareLifetime, nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp := &pb.ShareReply{}
	err := l.cfg.Pool.Call(ctx, addr, methodAllocate, &pb.ShareRequest{
		Router:   ask.Router,
		Customer: ask.Customer,
		Limits:   limits,
		Revision: ask.Revision,
		Demand:   ask.Demand.toShare(),
		Held:     ask.Held.toShare(),
		InUse:    uint32(ask.InUse),
	}, resp)
	if err != nil {
		return Amount{}, 0, err
	}
	lifetime := time.Duration(resp.LifetimeMs) * time.Millisecond
	return fromShare(resp.Share, ask.Limits), lifetime, nil
}

func (l *Limiter) allocateLocally(ask Request) Amount {
	ask.Routers = slices.Collect(maps.Keys(l.servingRouters()))
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	return l.allocator.Allocate(time.Now(), ask)
}

// handleAllocate answers a router that takes this one for the customer's home. A
// router that does not agree lends nothing, so that the number of homes that
// lend at once is the number of routers that take themselves for it.
func (l *Limiter) handleAllocate(_ context.Context, req *pb.ShareRequest) (*pb.ShareReply, error) {
	if id, _ := l.owner(req.Customer); id != l.cfg.Self {
		return nil, transport.Fail(pb.CallStatus_CALL_STATUS_FAILED, "the customer's home is "+id)
	}
	share := l.allocateLocally(Request{
		Customer: req.Customer,
		Router:   req.Router,
		Limits:   FromLimits(req.Limits),
		Revision: req.Revision,
		Demand:   uncappedAmount(req.Demand),
		Held:     uncappedAmount(req.Held),
		InUse:    int(req.InUse),
	})
	return &pb.ShareReply{
		Share:      share.toShare(),
		LifetimeMs: uint32(ShareLifetime.Milliseconds()),
	}, nil
}

// uncappedAmount reads an amount that no limits cap.
func uncappedAmount(s *pb.Share) Amount {
	return Amount{
		Requests:    s.GetRequestsPerSecond(),
		Tokens:      s.GetTokensPerSecond(),
		Concurrency: float64(s.GetConcurrency()),
	}
}
