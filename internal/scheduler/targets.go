package scheduler

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// routerKey names one run of a router.
type routerKey struct {
	id          string
	incarnation uint64
}

// router is a router that may be a home.
type router struct {
	id   string
	addr string
}

// closed tells whether a target takes no new work: it leaves, or operators
// want it drained or stopped.
func (s *Scheduler) closed(t *pb.TargetStatus) bool {
	if t.Leaving {
		return true
	}
	intent := s.cfg.Config.Intent(t.Id)
	if intent == nil {
		return false
	}
	return intent.Desired == pb.DesiredState_DESIRED_STATE_DRAIN ||
		intent.Desired == pb.DesiredState_DESIRED_STATE_STOP
}

// targetsOf returns the targets of a group and their load reports.
func (s *Scheduler) targetsOf(name string) ([]pool.Target, []pool.Report) {
	statuses := s.currentLayout().targetsByGroup[name]
	targets := make([]pool.Target, 0, len(statuses))
	reports := make([]pool.Report, 0, len(statuses))
	for _, t := range statuses {
		targets = append(targets, pool.Target{
			ID:          t.Id,
			Incarnation: t.Incarnation,
			Models:      t.Models,
			Service:     t.Service,
			Capacity:    int(t.Capacity),
			Closed:      s.closed(t),
		})
		reports = append(reports, pool.Report{
			Incarnation: t.Incarnation,
			Sequence:    t.Sequence,
			InFlight:    int(t.Load.GetRunning() + t.Load.GetWaiting()),
		})
	}
	return targets, reports
}

// ownerCandidates returns the routers that may be the group's home, the most likely
// first: the one that claimed last, then by rendezvous.
func (s *Scheduler) ownerCandidates(name string) []router {
	byID := make(map[string]*pb.RouterStatus)
	var ids []string
	for _, r := range s.cfg.View.Routers() {
		if r.State == pb.RouterState_ROUTER_STATE_SERVING {
			byID[r.Id] = r
			ids = append(ids, r.Id)
		}
	}
	var ranked []router
	if _, known := s.group(name).current(); known != nil {
		// A home out of view may be one that this router has yet to see.
		if serving, seen := s.ownerState(known); serving || !seen {
			ranked = append(ranked, router{id: known.Router, addr: known.Addr})
		}
	}
	for _, id := range fleet.Rank("group/"+name, ids) {
		if len(ranked) > 0 && ranked[0].id == id {
			continue
		}
		ranked = append(ranked, router{id: id, addr: byID[id].PeerAddr})
	}
	return ranked
}

// aliveRouters tells of which routers the places are kept. A router that has
// left the view keeps them for absentHold.
func (s *Scheduler) aliveRouters() func(pool.ID) bool {
	now := time.Now()
	inView := make(map[routerKey]bool)
	for _, r := range s.cfg.View.Routers() {
		inView[routerKey{id: r.Id, incarnation: r.Incarnation}] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, since := range s.absentSince {
		if inView[key] || now.Sub(since) > 2*absentRouterTTL {
			delete(s.absentSince, key)
		}
	}
	return func(id pool.ID) bool {
		key := routerKey{id: id.Router, incarnation: id.Incarnation}
		if inView[key] {
			return true
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		since, ok := s.absentSince[key]
		if !ok {
			s.absentSince[key] = now
			return true
		}
		return now.Sub(since) < absentRouterTTL
	}
}
