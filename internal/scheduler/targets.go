package scheduler

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

// routerKey identifies one incarnation of a router.
type routerKey struct {
	id          string
	incarnation uint64
}

// router holds the id of a router and its address for calls from other routers.
type router struct {
	id   string
	addr string
}

// closed reports whether a target takes no new work: the target is leaving, its data
// centre is evacuated, or operators want it drained or stopped.
func (s *Scheduler) closed(t *pb.TargetStatus) bool {
	if t.Leaving || state.Evacuated(s.cfg.Evacuations(), t.DataCentre) {
		return true
	}
	intent := s.cfg.ConfigView.Intent(t.Id)
	if intent == nil {
		return false
	}
	return intent.Desired == pb.DesiredState_DESIRED_STATE_DRAIN ||
		intent.Desired == pb.DesiredState_DESIRED_STATE_STOP
}

// targetsOf returns the targets of a group, and in the same order their load
// reports.
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

// ownerCandidates returns the routers that may be the owner of the group, the most
// likely owner first: the router of the highest known claim, unless that router is
// known not to serve, then the serving routers by descending rendezvous score.
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
	if _, claim := s.group(name).current(); claim != nil {
		// An owner that is not in view may be a router that this router does not
		// know yet.
		if serving, seen := s.ownerState(claim); serving || !seen {
			ranked = append(ranked, router{id: claim.Router, addr: claim.Addr})
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

// aliveRouters returns a function that reports whether the slot of a request is
// kept: the router of the request is in view, or has been missing for less than
// absentRouterTTL. The function records in s.absentSince when it first finds a
// router missing. A record is kept for twice absentRouterTTL, which is long enough
// for the slots to be released.
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
