package scheduler

import (
	"context"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// handleAdmit decides on a request as the group's home. If another router is the
// home, it answers with that one's claim; with hops left it passes the request
// on instead, since the asking router could not reach the home.
func (s *Scheduler) handleAdmit(ctx context.Context, req *pb.AdmitRequest) (*pb.AdmitReply, error) {
	if _, _, ok := s.cfg.Config.Lease(); !ok {
		return nil, errs.New(methodAdmit, s.cfg.Self, "this router has no configuration lease")
	}
	g := s.group(req.Group)
	if g == nil {
		return nil, errs.New(methodAdmit, s.cfg.Self, "too many groups of targets")
	}
	opened, known := g.current()
	if opened == nil && known != nil && known.Router != s.cfg.Self {
		if reply := s.redirect(ctx, req, known); reply != nil {
			return reply, nil
		}
	}
	if opened == nil {
		opened = s.claimGroup(ctx, g)
	}
	if opened == nil {
		_, known = g.current()
		return &pb.AdmitReply{Code: codeMoved, Home: known}, nil
	}
	s.refreshIfChanged()
	result, err := opened.admit(ctx, fromAdmitRequest(req))
	if err != nil {
		return nil, err
	}
	_, known = g.current()
	return toAdmitReply(result, claimUpdate(known, req.KnownEpoch)), nil
}

// redirect leaves a request to another home: the asking router is told of it, or
// the request is passed on. It returns nil if that home is gone.
func (s *Scheduler) redirect(ctx context.Context, req *pb.AdmitRequest, home *pb.HomeClaim) *pb.AdmitReply {
	serving, seen := s.ownerState(home)
	if seen && !serving {
		return nil
	}
	// A home out of view may be new, and the asking router not see it either.
	if serving && req.Hops == 0 {
		return &pb.AdmitReply{Code: codeMoved, Home: home}
	}
	reply, err := s.forward(ctx, req, home)
	if err != nil {
		s.cfg.Logger.Warn().Err(err).Str("step", errs.Step(err)).Str("peer", home.Router).
			Str("group", req.Group).Msg("the home of the group can't be reached")
		return nil
	}
	return reply
}

// claimUpdate returns a claim unless the asking router knows it. A router names the
// epoch that it knows only to the router that made the claim.
func claimUpdate(c *pb.HomeClaim, knownEpoch uint64) *pb.HomeClaim {
	if c.GetEpoch() == knownEpoch {
		return nil
	}
	return c
}

// ownerState tells whether the router of a claim is in view, and serving in
// the same incarnation.
func (s *Scheduler) ownerState(c *pb.HomeClaim) (serving, seen bool) {
	for _, r := range s.cfg.View.Routers() {
		if r.Id == c.Router {
			return r.Incarnation == c.Incarnation && r.State == pb.RouterState_ROUTER_STATE_SERVING, true
		}
	}
	return false, false
}

// claimGroup makes this router the home of a group. The others learn the claim and
// name the places they hold before anything is admitted here. It returns nil
// if another claim is higher.
func (s *Scheduler) claimGroup(ctx context.Context, g *group) *admitter {
	g.claiming.Lock()
	defer g.claiming.Unlock()
	opened, known := g.current()
	if opened != nil {
		return opened
	}
	self := s.cfg.View.Self()
	next := &pb.HomeClaim{
		Group:       g.name,
		Epoch:       known.GetEpoch() + 1,
		Router:      s.cfg.Self,
		Incarnation: self.GetIncarnation(),
		Addr:        self.GetPeerAddr(),
	}
	if !g.applyClaim(next) {
		return nil
	}
	s.refreshLayout()
	opened = newAdmitter(s.cfg.poolConfig())
	targets, reports := s.targetsOf(g.name)
	opened.update(targets, reports, func(pool.ID) bool { return true })
	// The claim is not that of one request: it goes on when that one ends.
	told := s.announceClaim(context.WithoutCancel(ctx), g, next, known, opened)
	if !g.startAdmitting(next, opened, told) {
		return nil
	}
	s.metrics.claims.Inc(1)
	s.cfg.Logger.Info().Str("step", methodClaim).Str("group", g.name).Uint64("epoch", next.Epoch).
		Int("places", opened.stats().Grants).Msg("this router is the home of the group")
	return opened
}

// announceClaim tells all routers of a claim and counts what they hold. It returns
// those that answered; the others are told again by tellNew.
func (s *Scheduler) announceClaim(ctx context.Context, g *group, c, before *pb.HomeClaim, opened *admitter) map[routerKey]bool {
	s.reconcileHeld(opened, s.listHeldSlots(g.name))
	peers := s.peerRouters()
	if before != nil && before.Router != s.cfg.Self {
		// The home so far, also if it is out of view.
		key := routerKey{id: before.Router, incarnation: before.Incarnation}
		peers[key] = router{id: before.Router, addr: before.Addr}
	}
	var mu sync.Mutex
	told := make(map[routerKey]bool)
	var calls sync.WaitGroup
	for key, r := range peers {
		calls.Go(func() {
			if !s.notify(ctx, g, c, r.addr, opened) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			told[key] = true
		})
	}
	calls.Wait()
	return told
}

// notify tells one router of a claim, counts what it holds and learns what it
// knows.
func (s *Scheduler) notify(ctx context.Context, g *group, c *pb.HomeClaim, addr string, opened *admitter) bool {
	reply, err := s.callClaim(ctx, addr, c)
	if err != nil {
		s.cfg.Logger.Warn().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).
			Str("group", g.name).Msg("a router did not answer the claim")
		return false
	}
	g.applyClaim(reply.Known)
	s.reconcileHeld(opened, reply.Held)
	return true
}

// notifyNew tells the routers that came into view of the claim in force here.
// Two homes that could not see each other find each other this way, and the
// one with the lower claim yields.
func (s *Scheduler) notifyNew(g *group) {
	others := s.peerRouters()
	c, untold := g.unnotified(others)
	if len(untold) == 0 {
		return
	}
	s.spawn(func() {
		defer g.endNotifying()
		for _, key := range untold {
			opened, _ := g.current()
			if opened == nil {
				return
			}
			if s.notify(context.Background(), g, c, others[key].addr, opened) {
				g.markNotified(key)
			}
		}
	})
}

// peerRouters returns the other routers in view.
func (s *Scheduler) peerRouters() map[routerKey]router {
	others := make(map[routerKey]router)
	for _, r := range s.cfg.View.Routers() {
		if r.Id != s.cfg.Self && r.State != pb.RouterState_ROUTER_STATE_GONE {
			others[routerKey{id: r.Id, incarnation: r.Incarnation}] = router{id: r.Id, addr: r.PeerAddr}
		}
	}
	return others
}

func (s *Scheduler) reconcileHeld(opened *admitter, held *pb.HeldPlaces) {
	opened.reconcile(held.GetRouter(), held.GetIncarnation(), held.GetUpTo(), fromHeldSlots(held))
}

// listHeldSlots lists what this router's requests hold in a group.
func (s *Scheduler) listHeldSlots(group string) *pb.HeldPlaces {
	upTo, held := s.held.list(group)
	return &pb.HeldPlaces{
		Router:      s.cfg.Self,
		Incarnation: s.cfg.View.Self().GetIncarnation(),
		UpTo:        upTo,
		Places:      held,
	}
}
