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

// Scheduler selects targets for requests and admits the requests to them. A
// Scheduler is safe for concurrent use.
type Scheduler struct {
	cfg     Config
	metrics *metrics
	held    *heldSlots

	mu     sync.Mutex
	layout *layout
	// layoutTargets, layoutRevision and layoutEvacuations are the targets, the
	// configuration revision and the revision of the evacuations from which layout
	// was computed.
	layoutTargets     []*pb.TargetStatus
	layoutRevision    uint64
	layoutEvacuations uint64
	groups            map[string]*group
	// recentPlacements caches the engines to which the chats of this router's
	// requests were assigned. Each admission request carries the cached engine as
	// a hint, from which a new owner rebuilds its directory.
	recentPlacements *placement.Directory
	// lastResync holds the time at which a resync was last requested from each
	// engine.
	lastResync map[string]time.Time
	// absentSince holds the time at which each router that holds slots was first
	// missing from the view.
	absentSince map[routerKey]time.Time

	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
}

var _ filter.Scheduler = (*Scheduler)(nil)

// New returns a scheduler and registers its methods with cfg.Server.
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

// Run periodically refreshes the targets and reconciles held slots, until Close is
// called or ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	reconcile := time.NewTicker(s.cfg.ReconcileInterval)
	defer reconcile.Stop()
	for {
		s.refresh()
		select {
		case <-ctx.Done():
			return
		case <-s.stop:
			return
		case <-refresh.C:
		case <-reconcile.C:
			s.reconcileAll()
		}
	}
}

// Close ends Run, refuses all requests that wait at this router, and waits for
// background goroutines. Call Close before closing the transport server, which
// waits for running calls.
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

// spawn runs fn in a goroutine that Close waits for. It returns false without
// running fn if the scheduler is closed.
func (s *Scheduler) spawn(fn func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return false
	default:
	}
	s.done.Go(fn)
	return true
}

// OwnerOf returns the id of the most likely owner of the target group that serves
// a chat, so that callers can send the chat's requests directly to the owner.
// OwnerOf returns "" if no target has the model or no router can be the owner.
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

// refresh updates the layout, and the targets of the groups that this router owns,
// from the view.
func (s *Scheduler) refresh() {
	s.refreshLayout()
	alive := s.aliveRouters()
	for _, g := range s.allGroups() {
		if adm, _ := g.current(); adm != nil {
			targets, reports := s.targetsOf(g.name)
			adm.update(targets, reports, alive)
			s.metrics.report(adm.stats())
			s.notifyRemaining(g)
		}
	}
}

func (s *Scheduler) refreshLayout() {
	targets := s.cfg.View.Targets()
	revision, _, _ := s.cfg.ConfigView.Lease()
	evacuations := s.cfg.Evacuations().GetRevision()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layout = newLayout(targets, s.layout.engineGroups)
	s.layoutTargets = targets
	s.layoutRevision = revision
	s.layoutEvacuations = evacuations
}

// refreshIfChanged refreshes immediately if, since the last refresh, a target joined,
// left, restarted or announced that it leaves, or the configuration changed, for
// example to drain a target, or an evacuation started or ended. The load bound is
// relative to the mean load of the targets that take work now.
func (s *Scheduler) refreshIfChanged() {
	targets := s.cfg.View.Targets()
	revision, _, _ := s.cfg.ConfigView.Lease()
	evacuations := s.cfg.Evacuations().GetRevision()
	s.mu.Lock()
	same := s.layoutRevision == revision && s.layoutEvacuations == evacuations && slices.EqualFunc(s.layoutTargets, targets, sameTarget)
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

// group returns the state of a group. It creates the state if needed, and returns
// nil instead if the states of maxGroups groups exist already.
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
