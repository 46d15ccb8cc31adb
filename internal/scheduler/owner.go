package scheduler

import (
	"context"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// handleAdmit decides on a request as the owner of the group. If another router is
// the owner, handleAdmit redirects the request. If no owner is known or the owner
// can't be reached, this router claims the group.
//
// A router without a configuration lease admits nothing. During a long partition,
// an owner that can't renew its lease therefore stops admitting when the lease
// expires.
func (s *Scheduler) handleAdmit(ctx context.Context, req *pb.AdmitRequest) (*pb.AdmitReply, error) {
	if _, _, ok := s.cfg.ConfigView.Lease(); !ok {
		return nil, errs.New(methodAdmit, s.cfg.Self, "this router has no configuration lease")
	}
	g := s.group(req.Group)
	if g == nil {
		return nil, errs.New(methodAdmit, s.cfg.Self, "too many target groups")
	}
	adm, claim := g.current()
	if adm == nil && claim != nil && claim.Router != s.cfg.Self {
		if reply := s.redirect(ctx, req, claim); reply != nil {
			return reply, nil
		}
	}
	if adm == nil {
		adm = s.claimGroup(ctx, g)
	}
	if adm == nil {
		_, claim = g.current()
		return &pb.AdmitReply{Code: codeMoved, Home: claim}, nil
	}
	s.refreshIfChanged()
	result, err := adm.admit(ctx, fromAdmitRequest(req))
	if err != nil {
		return nil, err
	}
	_, claim = g.current()
	return toAdmitReply(result, claimUpdate(claim, req.KnownEpoch)), nil
}

// redirect handles a request for a group that another router owns by the given
// claim. If the owner serves and the request has no hop left, the reply is the
// claim, and the requesting router calls the owner itself. A request has a hop left
// if the requesting router could not reach the owner. In this case, and if the owner
// is not in view, redirect forwards the request and returns the owner's reply.
// redirect returns nil if the owner no longer serves or can't be reached.
func (s *Scheduler) redirect(ctx context.Context, req *pb.AdmitRequest, claim *pb.HomeClaim) *pb.AdmitReply {
	serving, seen := s.ownerState(claim)
	if seen && !serving {
		return nil
	}
	// An owner that is not in view may be a new router. The requesting router may
	// not have this owner in view either, so the request is forwarded.
	if serving && req.Hops == 0 {
		return &pb.AdmitReply{Code: codeMoved, Home: claim}
	}
	reply, err := s.forward(ctx, req, claim)
	if err != nil {
		s.cfg.Logger.Warn().Err(err).Str("step", errs.Step(err)).Str("peer", claim.Router).
			Str("group", req.Group).Msg("the owner of the target group can't be reached")
		return nil
	}
	return reply
}

// claimUpdate returns the claim c, or nil if the requesting router already knows
// c. To compare the epochs is enough: a router that knows a claim sends the epoch
// only to the router that made the claim.
func claimUpdate(c *pb.HomeClaim, knownEpoch uint64) *pb.HomeClaim {
	if c.GetEpoch() == knownEpoch {
		return nil
	}
	return c
}

// ownerState reports whether the router of a claim is in view (seen), and whether
// that router serves in the incarnation of the claim (serving).
func (s *Scheduler) ownerState(c *pb.HomeClaim) (serving, seen bool) {
	for _, r := range s.cfg.View.Routers() {
		if r.Id == c.Router {
			return r.Incarnation == c.Incarnation && r.State == pb.RouterState_ROUTER_STATE_SERVING, true
		}
	}
	return false, false
}

// claimGroup makes this router the owner of a group and returns the admitter.
// Before this router admits anything, claimGroup announces the claim and collects
// the slots that all routers hold. claimGroup returns nil if another claim is
// higher.
func (s *Scheduler) claimGroup(ctx context.Context, g *group) *admitter {
	g.claiming.Lock()
	defer g.claiming.Unlock()
	adm, previous := g.current()
	if adm != nil {
		return adm
	}
	self := s.cfg.View.Self()
	next := &pb.HomeClaim{
		Group:       g.name,
		Epoch:       previous.GetEpoch() + 1,
		Router:      s.cfg.Self,
		Incarnation: self.GetIncarnation(),
		Addr:        self.GetPeerAddr(),
	}
	if !g.applyClaim(next) {
		return nil
	}
	s.refreshLayout()
	adm = newAdmitter(s.cfg.poolConfig())
	targets, reports := s.targetsOf(g.name)
	adm.update(targets, reports, func(pool.ID) bool { return true })
	// All requests for the group wait for this claim. The announcement therefore
	// continues if the request that caused it is cancelled.
	notified := s.announceClaim(context.WithoutCancel(ctx), g, next, previous, adm)
	if !g.startAdmitting(next, adm, notified) {
		return nil
	}
	s.metrics.claims.Inc(1)
	s.cfg.Logger.Info().Str("step", methodClaim).Str("group", g.name).Uint64("epoch", next.Epoch).
		Int("places", adm.stats().Grants).Msg("this router is now the owner of the target group")
	return adm
}

// announceClaim sends a claim to all routers and counts the slots that they hold.
// announceClaim returns the set of routers that replied. notifyRemaining sends the
// claim to the other routers again.
func (s *Scheduler) announceClaim(ctx context.Context, g *group, c, previous *pb.HomeClaim, adm *admitter) map[routerKey]bool {
	s.reconcileHeld(adm, s.listHeldSlots(g.name))
	peers := s.peerRouters()
	if previous != nil && previous.Router != s.cfg.Self {
		// Notify the previous owner even if it is not in view.
		key := routerKey{id: previous.Router, incarnation: previous.Incarnation}
		peers[key] = router{id: previous.Router, addr: previous.Addr}
	}
	var mu sync.Mutex
	notified := make(map[routerKey]bool)
	var calls sync.WaitGroup
	for key, r := range peers {
		calls.Go(func() {
			if !s.exchangeClaims(ctx, g, c, r.addr, adm) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			notified[key] = true
		})
	}
	calls.Wait()
	return notified
}

// exchangeClaims sends a claim to one router, counts the slots that the router holds,
// and applies the highest claim that the router knows. It reports whether the router
// replied.
func (s *Scheduler) exchangeClaims(ctx context.Context, g *group, c *pb.HomeClaim, addr string, adm *admitter) bool {
	reply, err := s.callClaim(ctx, addr, c)
	if err != nil {
		s.cfg.Logger.Warn().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).
			Str("group", g.name).Msg("no reply to the ownership claim")
		return false
	}
	g.applyClaim(reply.Known)
	s.reconcileHeld(adm, reply.Held)
	return true
}

// notifyRemaining sends this router's claim to the routers that do not know the
// claim yet, such as routers that came into view. The exchange of claims resolves a
// split brain after a partition: of two owners that had no connection to each
// other, the owner with the lower claim stops admitting.
func (s *Scheduler) notifyRemaining(g *group) {
	peers := s.peerRouters()
	c, unnotified := g.unnotified(peers)
	if len(unnotified) == 0 {
		return
	}
	s.spawn(func() {
		defer g.endNotifying()
		for _, key := range unnotified {
			adm, _ := g.current()
			if adm == nil {
				return
			}
			if s.exchangeClaims(context.Background(), g, c, peers[key].addr, adm) {
				g.markNotified(key)
			}
		}
	})
}

// peerRouters returns the other routers in view, except routers in the state GONE.
func (s *Scheduler) peerRouters() map[routerKey]router {
	peers := make(map[routerKey]router)
	for _, r := range s.cfg.View.Routers() {
		if r.Id != s.cfg.Self && r.State != pb.RouterState_ROUTER_STATE_GONE {
			peers[routerKey{id: r.Id, incarnation: r.Incarnation}] = router{id: r.Id, addr: r.PeerAddr}
		}
	}
	return peers
}

// reconcileHeld aligns the slots that adm counts for a router with the list held
// that the router reported.
func (s *Scheduler) reconcileHeld(adm *admitter, held *pb.HeldPlaces) {
	adm.reconcile(held.GetRouter(), held.GetIncarnation(), held.GetUpTo(), fromHeldSlots(held))
}

// listHeldSlots returns the slots that this router's requests hold in a group.
func (s *Scheduler) listHeldSlots(group string) *pb.HeldPlaces {
	upTo, held := s.held.list(group)
	return &pb.HeldPlaces{
		Router:      s.cfg.Self,
		Incarnation: s.cfg.View.Self().GetIncarnation(),
		UpTo:        upTo,
		Places:      held,
	}
}
