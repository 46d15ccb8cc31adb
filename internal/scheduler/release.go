package scheduler

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// defaultReconcileInterval is how often a router confirms to each home what
	// it holds there. That repairs lost answers and lost releases.
	defaultReconcileInterval = 5 * time.Second
	// absentRouterTTL is how long the places of a router that left the view are
	// kept.
	absentRouterTTL = 10 * time.Second
	// maxReleases bounds the releases that wait to be sent; beyond it the
	// next confirmation tells the home.
	maxReleases = 4096
)

// release gives a request's place back to the group's home.
func (s *Scheduler) release(group string, number uint64) {
	s.held.remove(group, number)
	g := s.group(group)
	ids := requestIDs(s.cfg.Self, s.cfg.View.Self().GetIncarnation(), []uint64{number})
	opened, known := g.currentOrDefer(s.cfg.Self, ids)
	if opened != nil {
		opened.release(ids...)
		return
	}
	if known.GetRouter() == s.cfg.Self {
		// Kept until the gate opens.
		return
	}
	g.mu.Lock()
	if len(g.pendingReleases) < maxReleases {
		g.pendingReleases = append(g.pendingReleases, number)
	}
	g.mu.Unlock()
	s.startSender(g)
}

// reconcileAll confirms to each home what this router holds there.
func (s *Scheduler) reconcileAll() {
	for _, name := range s.held.groupsToReconcile() {
		g := s.group(name)
		if opened, _ := g.current(); opened != nil {
			s.reconcileLocal(opened, name, s.listHeldSlots(name))
			continue
		}
		g.mu.Lock()
		g.reconcile = true
		g.mu.Unlock()
		s.startSender(g)
	}
}

// reconcileLocal counts the listed places of this router at its own gate. Those that
// ended since the list was made may have been released before it was counted.
func (s *Scheduler) reconcileLocal(opened *admitter, group string, listed *pb.HeldPlaces) {
	s.reconcileHeld(opened, listed)
	s.held.reconciled(group, listed.UpTo, len(listed.Places))
	ended := s.held.noLongerHeld(group, listed.Places)
	opened.release(requestIDs(listed.Router, listed.Incarnation, ended)...)
}

// startSender sends what a group's home is to be told, unless that is being
// done. One call is open at a time, so that the home sees them in order.
func (s *Scheduler) startSender(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sending {
		return
	}
	g.sending = s.spawn(func() { s.runSender(g) })
}

func (s *Scheduler) runSender(g *group) {
	for {
		g.mu.Lock()
		numbers, confirm := g.pendingReleases, g.reconcile
		g.pendingReleases, g.reconcile = nil, false
		if len(numbers) == 0 && !confirm {
			g.sending = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		s.sendReleases(g, numbers, confirm)
	}
}

// sendReleases makes one call. If it fails, the next confirmation tells the
// home instead.
func (s *Scheduler) sendReleases(g *group, numbers []uint64, confirm bool) {
	home, ok := s.releaseDestination(g)
	if !ok || home.id == s.cfg.Self {
		return
	}
	req := &pb.ReleaseRequest{
		Router:      s.cfg.Self,
		Incarnation: s.cfg.View.Self().GetIncarnation(),
		Group:       g.name,
		Numbers:     numbers,
	}
	if _, known := g.current(); known.GetRouter() == home.id {
		req.KnownEpoch = known.GetEpoch()
	}
	if confirm {
		req.Held = s.listHeldSlots(g.name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply := &pb.ReleaseReply{}
	if err := s.cfg.Pool.Call(ctx, home.addr, methodRelease, req, reply); err != nil {
		return
	}
	if confirm {
		s.held.reconciled(g.name, req.Held.UpTo, len(req.Held.Places))
	}
	g.applyClaim(reply.Home)
}

// releaseDestination returns the router that counts a group's places: the home of the
// claim in force, also while it drains, since it goes on admitting until another
// one claims.
func (s *Scheduler) releaseDestination(g *group) (router, bool) {
	if _, known := g.current(); known != nil {
		return router{id: known.Router, addr: known.Addr}, true
	}
	candidates := s.ownerCandidates(g.name)
	if len(candidates) == 0 {
		return router{}, false
	}
	return candidates[0], true
}
