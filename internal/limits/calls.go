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

// routers returns the ids of the routers that may be a home, and their peer
// addresses. Draining ones are left out, so that homes move before they end.
func (l *Limiter) routers() map[string]string {
	addrs := make(map[string]string)
	for _, r := range l.cfg.View.Routers() {
		if r.State == pb.RouterState_ROUTER_STATE_SERVING {
			addrs[r.Id] = r.PeerAddr
		}
	}
	return addrs
}

// home returns the home router of a customer and its peer address.
func (l *Limiter) home(customer string) (id, addr string) {
	addrs := l.routers()
	ids := make([]string, 0, len(addrs))
	for id := range addrs {
		ids = append(ids, id)
	}
	id = fleet.Home("customer/"+customer, ids)
	return id, addrs[id]
}

// lend asks the customer's home, which may be this router, for a share.
func (l *Limiter) lend(ctx context.Context, ask Ask, limits *pb.Limits) (Amount, time.Duration, error) {
	id, addr := l.home(ask.Customer)
	if id == "" {
		return Amount{}, 0, errs.New(methodLend, "", "no serving router is known")
	}
	if id == l.cfg.Self {
		return l.lendHere(ask), ShareLifetime, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp := &pb.ShareReply{}
	err := l.cfg.Pool.Call(ctx, addr, methodLend, &pb.ShareRequest{
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

func (l *Limiter) lendHere(ask Ask) Amount {
	ask.Routers = slices.Collect(maps.Keys(l.routers()))
	l.lenderMu.Lock()
	defer l.lenderMu.Unlock()
	return l.lender.Lend(time.Now(), ask)
}

// handleLend answers a router that takes this one for the customer's home. A
// router that does not agree lends nothing, so that the number of homes that
// lend at once is the number of routers that take themselves for it.
func (l *Limiter) handleLend(_ context.Context, req *pb.ShareRequest) (*pb.ShareReply, error) {
	if id, _ := l.home(req.Customer); id != l.cfg.Self {
		return nil, transport.Fail(pb.CallStatus_CALL_STATUS_FAILED, "the customer's home is "+id)
	}
	share := l.lendHere(Ask{
		Customer: req.Customer,
		Router:   req.Router,
		Limits:   FromLimits(req.Limits),
		Revision: req.Revision,
		Demand:   amount(req.Demand),
		Held:     amount(req.Held),
		InUse:    int(req.InUse),
	})
	return &pb.ShareReply{
		Share:      share.toShare(),
		LifetimeMs: uint32(ShareLifetime.Milliseconds()),
	}, nil
}

// amount reads an amount that no limits cap.
func amount(s *pb.Share) Amount {
	return Amount{
		Requests:    s.GetRequestsPerSecond(),
		Tokens:      s.GetTokensPerSecond(),
		Concurrency: float64(s.GetConcurrency()),
	}
}
