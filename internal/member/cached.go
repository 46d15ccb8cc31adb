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

// addCachedTargets lists the targets that were known before this start. The cache
// matters when a whole fleet restarts and no other router knows any target. The targets
// are not queued as updates: peers find differences by syncs, and their sync replies
// report targets that have left meanwhile.
func (c *core) addCachedTargets(now time.Time, targets []*pb.TargetStatus) {
	provenAt := now.Add(min(0, cachedLease-c.intervals.TargetLease))
	for _, st := range targets {
		if st.Leaving {
			continue
		}
		c.applyStatus(now, st)
		if e := c.targets[st.Id]; e != nil {
			c.renew(now, e, provenAt)
		}
	}
}
