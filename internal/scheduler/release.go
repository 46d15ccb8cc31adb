package scheduler

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// defaultConfirmInterval is how often a router confirms to each home what
	// it holds there. That repairs lost answers and lost releases.
	defaultConfirmInterval = 5 * time.Second
	// absentHold is how long the places of a router that left the view are
	// kept.
	absentHold = 10 * time.Second
	// maxReleases bounds the releases that wait to be sent; beyond it the
	// next confirmation tells the home.
	maxReleases = 4096
)

// release gives a request's place back to the group's home.
func (s *Scheduler) release(group string, number uint64) {
	s.held.end(group, number)
	g := s.group(group)
	ids := placeIDs(s.cfg.Self, s.cfg.View.Self().GetIncarnation(), []uint64{number})
	opened, known := g.keepOrRelease(s.cfg.Self, ids)
	if opened != nil {
		opened.release(ids...)
		return
	}
	if known.GetRouter() == s.cfg.Self {
		// Kept until the gate opens.
		return
	}
	g.mu.Lock()
	if len(g.releases) < maxReleases {
		g.releases = append(g.releases, number)
	}
	g.mu.Unlock()
	s.startSending(g)
}

// confirmAll confirms to each home what this router holds there.
func (s *Scheduler) confirmAll() {
	for _, name := range s.held.groups() {
		g := s.group(name)
		if opened, _ := g.present(); opened != nil {
			s.confirmOwn(opened, name, s.heldPlaces(name))
			continue
		}
		g.mu.Lock()
		g.confirm = true
		g.mu.Unlock()
		s.startSending(g)
	}
}

// confirmOwn counts the listed places of this router at its own gate. Those that
// ended since the list was made may have been released before it was counted.
func (s *Scheduler) confirmOwn(opened *gate, group string, listed *pb.HeldPlaces) {
	s.count(opened, listed)
	s.held.confirmed(group, listed.UpTo, len(listed.Places))
	ended := s.held.ended(group, listed.Places)
	opened.release(placeIDs(listed.Router, listed.Incarnation, ended)...)
}

// startSending sends what a group's home is to be told, unless that is being
// done. One call is open at a time, so that the home sees them in order.
func (s *Scheduler) startSending(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sending {
		return
	}
	g.sending = s.spawn(func() { s.send(g) })
}

func (s *Scheduler) send(g *group) {
	for {
		g.mu.Lock()
		numbers, confirm := g.releases, g.confirm
		g.releases, g.confirm = nil, false
		if len(numbers) == 0 && !confirm {
			g.sending = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		s.sendRelease(g, numbers, confirm)
	}
}

// sendRelease makes one call. If it fails, the next confirmation tells the
// home instead.
func (s *Scheduler) sendRelease(g *group, numbers []uint64, confirm bool) {
	home, ok := s.releaseTo(g)
	if !ok || home.id == s.cfg.Self {
		return
	}
	req := &pb.ReleaseRequest{
		Router:      s.cfg.Self,
		Incarnation: s.cfg.View.Self().GetIncarnation(),
		Group:       g.name,
		Numbers:     numbers,
	}
	if _, known := g.present(); known.GetRouter() == home.id {
		req.KnownEpoch = known.GetEpoch()
	}
	if confirm {
		req.Held = s.heldPlaces(g.name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply := &pb.ReleaseReply{}
	if err := s.cfg.Pool.Call(ctx, home.addr, methodRelease, req, reply); err != nil {
		return
	}
	if confirm {
		s.held.confirmed(g.name, req.Held.UpTo, len(req.Held.Places))
	}
	g.learn(reply.Home)
}

// releaseTo returns the router that counts a group's places: the home of the
// claim in force, also while it drains, since it goes on admitting until another
// one claims.
func (s *Scheduler) releaseTo(g *group) (router, bool) {
	if _, known := g.present(); known != nil {
		return router{id: known.Router, addr: known.Addr}, true
	}
	candidates := s.candidates(g.name)
	if len(candidates) == 0 {
		return router{}, false
	}
	return candidates[0], true
}
