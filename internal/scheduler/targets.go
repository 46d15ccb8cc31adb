package scheduler

import (
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

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

// report is an engine's load report as it was when it came in.
type report struct {
	incarnation uint64
	sequence    uint64
	// external is what the engine had in flight beyond this router's own.
	external int
}

// external estimates the requests that other routers have in flight at a
// target: its own report less what this router had there when it came in.
func (s *Scheduler) external(t *pb.TargetStatus) int {
	last, ok := s.reports[t.Id]
	if ok && last.incarnation == t.Incarnation && last.sequence == t.Sequence {
		return last.external
	}
	reported := int(t.Load.GetRunning() + t.Load.GetWaiting())
	next := report{
		incarnation: t.Incarnation,
		sequence:    t.Sequence,
		external:    max(0, reported-s.local.granted(t.Id)),
	}
	s.reports[t.Id] = next
	return next.external
}

// refresh takes the targets of the view into the pool.
func (s *Scheduler) refresh() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	statuses := s.cfg.View.Targets()
	targets := make([]pool.Target, 0, len(statuses))
	present := make(map[string]bool, len(statuses))
	for _, t := range statuses {
		present[t.Id] = true
		targets = append(targets, pool.Target{
			ID:          t.Id,
			Incarnation: t.Incarnation,
			Models:      t.Models,
			Service:     t.Service,
			Capacity:    int(t.Capacity),
			External:    s.external(t),
			Closed:      s.closed(t),
		})
	}
	for id := range s.reports {
		if !present[id] {
			delete(s.reports, id)
		}
	}
	s.local.update(targets)
}
