package permits

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/window"
)

// reachWindow is the least time for which routers that are no longer reached count as part of
// the fleet. After it, they are taken to have left.
const reachWindow = time.Minute

// reach tells which fraction of the fleet's routers a router reaches. The fleet has as many
// routers as this router has known at most, or those that ask it, in the last one or two
// windows. A router that has just started knows it from those that ask.
type reach struct {
	routers int
	known   window.Max[int]
	heard   window.Max[int]
}

// see records the number of routers that this router knows now, and returns the most that it
// has known.
func (r *reach) see(now time.Time, routers int) (fleet int) {
	r.routers = max(routers, 1)
	return r.known.Add(now, reachWindow, r.routers)
}

// fraction returns the fraction that this router reaches. fleet is the most routers that the
// one which asks has known; zero if unknown.
func (r *reach) fraction(now time.Time, fleet int) float64 {
	most := max(r.known.Add(now, reachWindow, r.routers), r.heard.Add(now, reachWindow, fleet), 1)
	return float64(max(r.routers, 1)) / float64(most)
}
