package member

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// routerView is the routers as readers see them, valid until the core changes a router.
// It is separate from targetView: when a large fleet starts, thousands of targets
// announce themselves, each announcement changes the targets, and the reply to each
// announcement reads the routers.
type routerView struct {
	changes uint64
	self    *pb.RouterStatus
	routers []*pb.RouterStatus
}

func (c *core) routerView() *routerView {
	v := &routerView{
		changes: c.routerChanges,
		self:    c.self.status,
		routers: []*pb.RouterStatus{c.self.status},
	}
	for _, e := range c.routers {
		if e.state != dead {
			v.routers = append(v.routers, e.status)
		}
	}
	slices.SortFunc(v.routers, func(a, b *pb.RouterStatus) int { return strings.Compare(a.Id, b.Id) })
	return v
}

// valid reports whether readers may still use the view.
func (v *routerView) valid(c *core) bool { return v != nil && v.changes == c.routerChanges }

// targetView is the targets as readers see them, valid until the core changes a target
// or the first lease among them expires.
type targetView struct {
	changes uint64
	until   time.Time
	targets []*pb.TargetStatus
	byID    map[string]*pb.TargetStatus
}

// farFuture is the validity of a view without leases, and the wait of a router that has
// left.
const farFuture = 365 * 24 * time.Hour

func (c *core) targetView(now time.Time) *targetView {
	v := &targetView{
		changes: c.targetChanges,
		until:   now.Add(farFuture),
		byID:    make(map[string]*pb.TargetStatus),
	}
	for id, e := range c.targets {
		if !c.leased(now, e) {
			continue
		}
		c.assertListed(e)
		v.until = earliest(v.until, e.lastProof.Add(c.intervals.TargetLease))
		v.targets = append(v.targets, e.status)
		v.byID[id] = e.status
	}
	slices.SortFunc(v.targets, func(a, b *pb.TargetStatus) int { return strings.Compare(a.Id, b.Id) })
	return v
}

// valid reports whether readers may still use the view.
func (v *targetView) valid(c *core, now time.Time) bool {
	return v != nil && v.changes == c.targetChanges && now.Before(v.until)
}

// assertListed asserts that a listed target is the last known incarnation, and that it
// is marked as leaving if it has left.
func (c *core) assertListed(e *targetEntry) {
	past, known := c.history.get(e.status.Id)
	if !known {
		return
	}
	returned := e.status.Incarnation < past.incarnation || past.left && !e.status.Leaving
	invariant.Check(!returned, "ended target returns", "target", e.status.Id, "incarnation", e.status.Incarnation, "known", past.incarnation)
}
