package member

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// snapshot is the view as readers see it, until the core changes or the first
// lease in it ends.
type snapshot struct {
	changes uint64
	until   time.Time
	self    *pb.RouterStatus
	routers []*pb.RouterStatus
	targets []*pb.TargetStatus
	byID    map[string]*pb.TargetStatus
}

// farFuture ends a snapshot without leases.
const farFuture = 365 * 24 * time.Hour

func (c *core) snapshot(now time.Time) *snapshot {
	s := &snapshot{
		changes: c.changes,
		until:   now.Add(farFuture),
		self:    c.self.status,
		routers: []*pb.RouterStatus{c.self.status},
		byID:    make(map[string]*pb.TargetStatus),
	}
	for _, e := range c.routers {
		if e.state != dead {
			s.routers = append(s.routers, e.status)
		}
	}
	for id, e := range c.targets {
		if !c.leased(now, e) {
			continue
		}
		c.assertListed(e)
		s.until = earliest(s.until, e.fresh.Add(c.iv.TargetLease))
		s.targets = append(s.targets, e.status)
		s.byID[id] = e.status
	}
	slices.SortFunc(s.routers, func(a, b *pb.RouterStatus) int { return strings.Compare(a.Id, b.Id) })
	slices.SortFunc(s.targets, func(a, b *pb.TargetStatus) int { return strings.Compare(a.Id, b.Id) })
	return s
}

// assertListed checks that a listed target is the last known incarnation and
// that one which left is marked so.
func (c *core) assertListed(e *targetEntry) {
	past, known := c.history.get(e.status.Id)
	if !known {
		return
	}
	returned := e.status.Incarnation < past.incarnation || past.left && !e.status.Leaving
	invariant.Check(!returned, "ended target returns", "target", e.status.Id, "incarnation", e.status.Incarnation, "known", past.incarnation)
}

// valid tells whether readers may still use the snapshot.
func (s *snapshot) valid(c *core, now time.Time) bool {
	return s != nil && s.changes == c.changes && now.Before(s.until)
}
