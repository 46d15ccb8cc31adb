package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// Scheduler places requests on targets and admits them.
type Scheduler struct {
	cfg     Config
	metrics *metrics
	held    *heldSlots

	mu     sync.Mutex
	layout *layout
	// layoutTargets and revision are the targets and the configuration of layout.
	layoutTargets  []*pb.TargetStatus
	layoutRevision uint64
	groups         map[string]*group
	// recentPlacements remembers where this router's chats were placed, as hints for a
	// home that has lost its directory.
	recentPlacements *placement.Directory
	// lastResync is when each engine was last asked for a resync.
	lastResync map[string]time.Time
	// absentSince is since when routers that hold places have been out of view.
	absentSince map[routerKey]time.Time

	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
}

var _ filter.Scheduler = (*Scheduler)(nil)

// New makes a scheduler and registers its methods.
func New(cfg Config) *Scheduler {
	cfg.setDefaults()
	s := &Scheduler{
		cfg:              cfg,
		metrics:          newMetrics(cfg.Scope),
		held:             newHeldSlots(),
		layout:           newLayout(nil, 1),
		groups:           make(map[string]*group),
		recentPlacements: placement.NewDirectory(hintDirectorySize),
		lastResync:       make(map[string]time.Time),
		absentSince:      make(map[routerKey]time.Time),
		stop:             make(chan struct{}),
	}
	s.register()
	return s
}

// Run follows the view until Close or the end of ctx.
func (s *Scheduler) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	confirm := time.NewTicker(s.cfg.ReconcileInterval)
	defer confirm.Stop()
	for {
		s.refresh()
		select {
		case <-ctx.Done():
			return
		case <-s.stop:
			return
		case <-refresh.C:
		case <-confirm.C:
			s.reconcileAll()
		}
	}
}

// Close ends Run and refuses all that waits here for a place. Close it before
// the transport server, which waits for running calls.
func (s *Scheduler) Close() {
	s.stopOnce.Do(func() {
		s.mu.Lock()
		close(s.stop)
		s.mu.Unlock()
		for _, g := range s.allGroups() {
			g.close()
		}
	})
	s.done.Wait()
}

// spawn runs do in a goroutine that Close waits for; it returns false if the
// scheduler is closed.
func (s *Scheduler) spawn(do func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return false
	default:
	}
	s.done.Go(do)
	return true
}

// OwnerOf returns the router that admits for a chat's engines, so that callers
// can be sent straight to it; "" if no target serves the model.
func (s *Scheduler) OwnerOf(model, chat string) string {
	group := s.currentLayout().group(filter.Demand{Model: model, Chat: chat})
	if group == "" {
		return ""
	}
	candidates := s.ownerCandidates(group)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0].id
}

// refresh takes the targets of the view into the groups.
func (s *Scheduler) refresh() {
	s.refreshLayout()
	alive := s.aliveRouters()
	for _, g := range s.allGroups() {
		if opened, _ := g.current(); opened != nil {
			targets, reports := s.targetsOf(g.name)
			opened.update(targets, reports, alive)
			s.metrics.report(opened.stats())
			s.notifyNew(g)
		}
	}
}

func (s *Scheduler) refreshLayout() {
	targets := s.cfg.View.Targets()
	revision, _, _ := s.cfg.Config.Lease()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layout = newLayout(targets, s.layout.engineGroups)
	s.layoutTargets = targets
	s.layoutRevision = revision
}

// refreshIfChanged refreshes at once if targets came, left, restarted or were
// drained since the last refresh. The mean of the load bound is over those
// that take work now.
func (s *Scheduler) refreshIfChanged() {
	targets := s.cfg.View.Targets()
	revision, _, _ := s.cfg.Config.Lease()
	s.mu.Lock()
	same := s.layoutRevision == revision && slices.EqualFunc(s.layoutTargets, targets, sameTarget)
	s.mu.Unlock()
	if !same {
		s.refresh()
	}
}

func sameTarget(a, b *pb.TargetStatus) bool {
	return a == b || (a.Id == b.Id && a.Incarnation == b.Incarnation && a.Leaving == b.Leaving)
}

func (s *Scheduler) currentLayout() *layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.layout
}

// group returns the record of a group, nil if there are too many.
func (s *Scheduler) group(name string) *group {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	if !ok && len(s.groups) < maxGroups {
		g = &group{name: name}
		s.groups[name] = g
	}
	return g
}

func (s *Scheduler) allGroups() []*group {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		all = append(all, g)
	}
	return all
}
