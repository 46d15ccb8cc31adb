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

// servingRouters returns the peer addresses of the routers that are eligible as
// owners, by router id. Draining routers are excluded, so that ownership moves
// to another router before they stop.
func (l *Limiter) servingRouters() map[string]string {
	addrs := make(map[string]string)
	for _, r := range l.cfg.View.Routers() {
		if r.State == pb.RouterState_ROUTER_STATE_SERVING {
			addrs[r.Id] = r.PeerAddr
		}
	}
	return addrs
}

// owner returns the id and the peer address of the customer's owner router.
func (l *Limiter) owner(customer string) (id, addr string) {
	addrs := l.servingRouters()
	ids := make([]string, 0, len(addrs))
	for id := range addrs {
		ids = append(ids, id)
	}
	id = fleet.Owner("customer/"+customer, ids)
	return id, addrs[id]
}

// requestShare requests a share from the customer's owner, which may be this
// router, and returns the share and its lifetime.
func (l *Limiter) requestShare(ctx context.Context, req ShareRequest, limits *pb.Limits) (Amount, time.Duration, error) {
	id, addr := l.owner(req.Customer)
	if id == "" {
		return Amount{}, 0, errs.New(methodAllocate, "", "no serving router is known")
	}
	if id == l.cfg.Self {
		return l.allocateLocally(req), ShareLifetime, nil
	}
	ctx, cancel := context.WithTimeout(ctx, shareRequestTimeout)
	defer cancel()
	resp := &pb.ShareReply{}
	err := l.cfg.Pool.Call(ctx, addr, methodAllocate, &pb.ShareRequest{
		Router:   req.Router,
		Customer: req.Customer,
		Limits:   limits,
		Revision: req.Revision,
		Demand:   req.Demand.toShare(),
		Held:     req.Held.toShare(),
		InUse:    uint32(req.InUse),
	}, resp)
	if err != nil {
		return Amount{}, 0, err
	}
	lifetime := time.Duration(resp.LifetimeMs) * time.Millisecond
	return fromShare(resp.Share, req.Limits), lifetime, nil
}

func (l *Limiter) allocateLocally(req ShareRequest) Amount {
	req.Routers = slices.Collect(maps.Keys(l.servingRouters()))
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	return l.allocator.Allocate(time.Now(), req)
}

// handleAllocate handles a share request from another router. It fails unless
// this router also considers itself the owner. While the routers' views differ,
// the number of owners that allocate at the same time is therefore at most the
// number of routers that consider themselves the owner.
func (l *Limiter) handleAllocate(_ context.Context, req *pb.ShareRequest) (*pb.ShareReply, error) {
	if id, _ := l.owner(req.Customer); id != l.cfg.Self {
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_FAILED, "the customer's owner router is "+id)
	}
	share := l.allocateLocally(ShareRequest{
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

// uncappedAmount converts a share without capping it at limits.
func uncappedAmount(s *pb.Share) Amount {
	return Amount{
		Requests:    s.GetRequestsPerSecond(),
		Tokens:      s.GetTokensPerSecond(),
		Concurrency: float64(s.GetConcurrency()),
	}
}
