package scheduler

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// defaultReconcileInterval is how often a router reports the slots that it
	// holds to each owner. The report repairs lost replies and lost releases.
	defaultReconcileInterval = 5 * time.Second
	// absentRouterTTL is how long the slots of a router that left the view are
	// kept.
	absentRouterTTL = 10 * time.Second
	// maxReleases bounds the queued releases per group. Releases beyond it are
	// dropped; the next reconciliation makes up for them.
	maxReleases = 4096
)

// release releases a request's slot at the owner of the group.
func (s *Scheduler) release(group string, number uint64) {
	s.held.remove(group, number)
	g := s.group(group)
	ids := requestIDs(s.cfg.Self, s.cfg.View.Self().GetIncarnation(), []uint64{number})
	adm, claim := g.currentOrDefer(s.cfg.Self, ids)
	if adm != nil {
		adm.release(ids...)
		return
	}
	if claim.GetRouter() == s.cfg.Self {
		// The release was deferred until this router starts admitting.
		return
	}
	g.mu.Lock()
	if len(g.pendingReleases) < maxReleases {
		g.pendingReleases = append(g.pendingReleases, number)
	}
	g.mu.Unlock()
	s.startSender(g)
}

// reconcileAll reports the slots that this router holds to the owner of each
// group.
func (s *Scheduler) reconcileAll() {
	for _, name := range s.held.groupsToReconcile() {
		g := s.group(name)
		if adm, _ := g.current(); adm != nil {
			s.reconcileLocal(adm, name, s.listHeldSlots(name))
			continue
		}
		g.mu.Lock()
		g.reconcilePending = true
		g.mu.Unlock()
		s.startSender(g)
	}
}

// reconcileLocal reconciles the listed slots of this router with its own admitter.
// A slot whose request ended after the list was made may have been released before
// the list was applied, which counts the slot again. reconcileLocal therefore
// releases such slots once more.
func (s *Scheduler) reconcileLocal(adm *admitter, group string, listed *pb.HeldPlaces) {
	s.reconcileHeld(adm, listed)
	s.held.reconciled(group, listed.UpTo, len(listed.Places))
	ended := s.held.noLongerHeld(group, listed.Places)
	adm.release(requestIDs(listed.Router, listed.Incarnation, ended)...)
}

// startSender starts a goroutine that sends pending releases and reconciliations
// to the owner of a group, unless one runs already. Only one call is in progress
// at a time, so that the owner receives the calls in order.
func (s *Scheduler) startSender(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sending {
		return
	}
	g.sending = s.spawn(func() { s.runSender(g) })
}

// runSender sends until nothing is pending for the group.
func (s *Scheduler) runSender(g *group) {
	for {
		g.mu.Lock()
		numbers, reconcile := g.pendingReleases, g.reconcilePending
		g.pendingReleases, g.reconcilePending = nil, false
		if len(numbers) == 0 && !reconcile {
			g.sending = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		s.sendReleases(g, numbers, reconcile)
	}
}

// sendReleases makes one call to the owner. The call releases the numbers and, if
// reconcile is set, lists the held slots. A failed call is not retried: the next
// reconciliation makes up for it.
func (s *Scheduler) sendReleases(g *group, numbers []uint64, reconcile bool) {
	owner, ok := s.releaseDestination(g)
	if !ok || owner.id == s.cfg.Self {
		return
	}
	req := &pb.ReleaseRequest{
		Router:      s.cfg.Self,
		Incarnation: s.cfg.View.Self().GetIncarnation(),
		Group:       g.name,
		Numbers:     numbers,
	}
	if _, claim := g.current(); claim.GetRouter() == owner.id {
		req.KnownEpoch = claim.GetEpoch()
	}
	if reconcile {
		req.Held = s.listHeldSlots(g.name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply := &pb.ReleaseReply{}
	if err := s.cfg.Peers.Call(ctx, owner.addr, methodRelease, req, reply); err != nil {
		return
	}
	if reconcile {
		s.held.reconciled(g.name, req.Held.UpTo, len(req.Held.Places))
	}
	g.applyClaim(reply.Home)
}

// releaseDestination returns the router that counts a group's slots. That is the
// owner by the current claim, even while it drains, since it continues to admit
// until another router claims the group. Without a claim it is the first owner
// candidate.
func (s *Scheduler) releaseDestination(g *group) (router, bool) {
	if _, claim := g.current(); claim != nil {
		return router{id: claim.Router, addr: claim.Addr}, true
	}
	candidates := s.ownerCandidates(g.name)
	if len(candidates) == 0 {
		return router{}, false
	}
	return candidates[0], true
}
