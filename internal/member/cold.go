package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// coldTolerance is the difference in the time that a target stays cold up to which an
// announcement tells nothing new. It covers the time that an announcement or an update
// travels. Without it, each announcement of a cold target would be an update.
const coldTolerance = 250 * time.Millisecond

// coldMs returns how much longer the target is cold, in milliseconds rounded up.
func (e *targetEntry) coldMs(now time.Time) uint32 {
	return uint32(roundedUp(max(0, e.coldUntil.Sub(now)), time.Millisecond))
}

// sameCold reports whether the time that the target stays cold, by a status that was received
// now, differs from the known one by coldTolerance at most.
func (e *targetEntry) sameCold(now time.Time, st *pb.TargetStatus) bool {
	difference := milliseconds(st.ColdMs) - milliseconds(e.coldMs(now))
	return difference.Abs() <= coldTolerance
}

// setCold applies the time that the target stays cold, from a status that was received now
// and is already stored in the entry.
func (c *core) setCold(now time.Time, e *targetEntry, st *pb.TargetStatus) {
	before, cold := now.Before(e.coldUntil), st.ColdMs > 0
	e.coldUntil = time.Time{}
	if cold {
		e.coldUntil = now.Add(milliseconds(st.ColdMs))
		if c.nextColdEnd.IsZero() || e.coldUntil.Before(c.nextColdEnd) {
			c.nextColdEnd = e.coldUntil
		}
	}
	switch {
	case cold && !before:
		c.recordTargetEvent(e.status.Id, e.status.Incarnation, eventTargetCold)
	case !cold && before:
		c.recordTargetEvent(e.status.Id, e.status.Incarnation, eventTargetWarm)
	}
}

// endCold clears the cold state of the targets whose time has passed. All routers do so by
// themselves, so no update is needed.
func (c *core) endCold(now time.Time) {
	if c.nextColdEnd.IsZero() || now.Before(c.nextColdEnd) {
		return
	}
	c.nextColdEnd = time.Time{}
	for _, e := range c.targets {
		switch {
		case e.coldUntil.IsZero():
		case now.Before(e.coldUntil):
			if c.nextColdEnd.IsZero() || e.coldUntil.Before(c.nextColdEnd) {
				c.nextColdEnd = e.coldUntil
			}
		default:
			e.coldUntil = time.Time{}
			e.status = shallowCopy(e.status)
			e.status.ColdMs = 0
			c.targetChanges++
			c.recordTargetEvent(e.status.Id, e.status.Incarnation, eventTargetWarm)
		}
	}
}
