package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// rememberedLease is how long a target that was known before this start is listed
// without news of it. Others take over what is left of it: the routers of a large fleet join
// within two seconds, and targets announce themselves about once a second.
const rememberedLease = 4 * time.Second

// rememberTargets lists the targets that were known before this start. It answers the
// return of a whole fleet, in which nobody else knows any. It is no news to others: they
// find by comparison what differs, and tell of targets that have left meanwhile.
func (c *core) rememberTargets(now time.Time, targets []*pb.TargetStatus) {
	provenAt := now.Add(min(0, rememberedLease-c.iv.TargetLease))
	for _, st := range targets {
		if st.Leaving {
			continue
		}
		c.describe(now, st)
		if e := c.targets[st.Id]; e != nil {
			c.renew(now, e, provenAt)
		}
	}
}
