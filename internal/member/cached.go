package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// cachedLease is how long a target that was known before this start is listed without
// any message about it; a shorter TargetLease takes precedence. Peers take over the
// remaining time through renewals. This is long enough: the routers of a large fleet
// join within two seconds, and targets announce themselves about once a second.
const cachedLease = 4 * time.Second

// addCachedNotices marks the targets that were known to leave before this start, and queues that
// as updates: others may have such a target cached, and the target does not repeat its notice.
func (c *core) addCachedNotices(now time.Time, notices []*pb.TargetStatus) {
	for _, n := range notices {
		c.applyStatus(now, &pb.TargetStatus{Id: n.Id, Incarnation: n.Incarnation, Leaving: true})
	}
}

// leftSince reports whether the incarnation in st, or a later one, is known to leave.
func (c *core) leftSince(st *pb.TargetStatus) bool {
	past, known := c.history.get(st.Id)
	return known && past.left && past.incarnation >= st.Incarnation
}

// addCachedTargets lists the targets that were known before this start. The cache
// matters when a whole fleet restarts and no other router knows any target. The targets
// are not queued as updates: peers find differences by syncs, and their sync replies
// report targets that have left meanwhile.
func (c *core) addCachedTargets(now time.Time, targets []*pb.TargetStatus) {
	provenAt := now.Add(min(0, cachedLease-c.intervals.TargetLease))
	for _, st := range targets {
		if st.Leaving || c.leftSince(st) {
			continue
		}
		c.applyStatus(now, st)
		if e := c.targets[st.Id]; e != nil {
			c.renew(now, e, provenAt)
		}
	}
}
