package member

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxRouters limits the table of routers, dead ones included.
	maxRouters = 4096
	// deadRetention is how long a dead router is kept in the table. During this time
	// rejoin tries to reach it.
	deadRetention = 6 * time.Hour
	// pauseThreshold is the time without a tick after which the process counts as
	// having been paused.
	pauseThreshold = 2 * maxProbeInterval
	// leaveFanout is the number of peers that a leaving router notifies.
	leaveFanout = 5
	// gcInterval is the time between removals of old entries.
	gcInterval = 10 * time.Second
	// smallFleet is the number of routers up to which intervals aren't scaled.
	smallFleet = 10
)

type liveness int

const (
	alive liveness = iota
	suspect
	dead
)

// routerEntry is this router's knowledge of one router.
type routerEntry struct {
	status *pb.RouterStatus
	// generation is raised when a router returns after it was declared dead or
	// restarted: a dead generation never returns.
	generation   uint64
	state        liveness
	suspectUntil time.Time
	diedAt       time.Time
	// hash and bucket determine the entry's part in digests.
	hash   uint32
	bucket int
}

func (e *routerEntry) rehash() {
	e.bucket = bucketOf(e.status.Id)
	e.hash = fold32(hashOf(e.status.Id, e.generation, e.status.Incarnation, e.status.Version))
}

func hashOf(name string, numbers ...uint64) uint64 { return fleet.Hash(name, numbers...) }

func (e *routerEntry) delta() *pb.RouterDelta {
	if e.state == dead {
		return e.deadDelta(e.status.State)
	}
	return &pb.RouterDelta{Status: e.status, Generation: e.generation, Suspect: e.state == suspect}
}

func (e *routerEntry) deadDelta(state pb.RouterState) *pb.RouterDelta {
	return &pb.RouterDelta{
		Status:     &pb.RouterStatus{Id: e.status.Id, State: state},
		Generation: e.generation,
		Dead:       true,
	}
}

// goneDelta returns a delta that says that the router has left, rather than failed.
func (e *routerEntry) goneDelta() *pb.RouterDelta {
	return e.deadDelta(pb.RouterState_ROUTER_STATE_GONE)
}

// mergeRouter merges an update of one router. A higher generation replaces the entry.
// Within a generation, dead is final, a higher version wins, and at equal versions a
// suspicion wins.
func (c *core) mergeRouter(now time.Time, d *pb.RouterDelta) {
	id := d.Status.Id
	if id == c.self.status.Id {
		c.refute(d)
		return
	}
	e := c.routers[id]
	switch {
	case e == nil:
		if len(c.routers) < maxRouters {
			c.replaceRouter(now, &routerEntry{}, d)
		}
	case d.Generation > e.generation:
		c.replaceRouter(now, e, d)
	case d.Generation < e.generation || e.state == dead:
		if !d.Dead && e.state == dead {
			// The sender has not learned of the death yet: queue the update again.
			c.updates.add(routerUpdate, id)
		}
	case d.Dead:
		c.declareDead(now, e, d.Status.State)
	case newer(d.Status, e.status):
		c.replaceRouter(now, e, d)
	case d.Suspect && d.Status.Incarnation == e.status.Incarnation && d.Status.Version == e.status.Version:
		c.suspectRouter(now, e)
	}
}

// newer reports whether a is the later status of the two within one generation. A
// restarted process may begin with the generation that its predecessor took last, but
// has a higher incarnation.
func newer(a, b *pb.RouterStatus) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// replaceRouter replaces all knowledge of a router by d. The known address of a dead
// router is kept, and so are a higher routing table number and a higher revision of the
// evacuations of the same incarnation.
func (c *core) replaceRouter(now time.Time, old *routerEntry, d *pb.RouterDelta) {
	invariant.Check(old.state != dead || d.Generation > old.generation, "dead router returns",
		"router", d.Status.Id, "generation", d.Generation, "dead", old.generation)
	e := &routerEntry{status: d.Status, generation: d.Generation}
	if d.Dead && old.status != nil {
		// Keep the address, at which rejoin tries to reach the router.
		e.status = old.status
	}
	if old.status.GetIncarnation() == d.Status.Incarnation && old.status.GetRoutingTable() > e.status.RoutingTable {
		// The known number is newer than the one in this status.
		e.status = withRoutingTable(e.status, old.status.RoutingTable)
	}
	if old.status.GetIncarnation() == d.Status.Incarnation && old.status.GetEvacuations() > e.status.Evacuations {
		e.status = withEvacuations(e.status, old.status.Evacuations)
	}
	c.routers[d.Status.Id] = e
	e.rehash()
	c.updates.add(routerUpdate, d.Status.Id)
	c.routerChanges++
	switch {
	case d.Dead:
		c.declareDead(now, e, d.Status.State)
	case d.Suspect:
		c.suspectRouter(now, e)
	case old.status == nil || old.generation < e.generation:
		c.recordRouterEvent(e, eventAppeared)
	case old.state == suspect:
		c.recordRouterEvent(e, eventRefuted)
	}
}

func (c *core) suspectRouter(now time.Time, e *routerEntry) {
	if e.state != alive {
		return
	}
	e.state = suspect
	e.suspectUntil = now.Add(c.suspectTimeout())
	c.counts.suspicions++
	c.recordRouterEvent(e, eventSuspected)
	c.updates.add(routerUpdate, e.status.Id)
}

// declareDead marks the current generation of a router as dead, which is final. The
// state says whether the router left or failed.
func (c *core) declareDead(now time.Time, e *routerEntry, state pb.RouterState) {
	e.state = dead
	e.diedAt = now
	e.status = &pb.RouterStatus{Id: e.status.Id, PeerAddr: e.status.PeerAddr, State: state}
	if state == pb.RouterState_ROUTER_STATE_GONE {
		c.recordRouterEvent(e, eventLeft)
	} else {
		c.counts.deaths++
		c.recordRouterEvent(e, eventDead)
	}
	c.updates.add(routerUpdate, e.status.Id)
	c.routerChanges++
}

func (c *core) expireSuspicions(now time.Time) {
	for _, e := range c.routers {
		if e.state == suspect && !now.Before(e.suspectUntil) {
			c.declareDead(now, e, pb.RouterState_ROUTER_STATE_UNSPECIFIED)
		}
	}
}

// refute answers a false claim about this router: a suspicion by a new version, a death
// by a new generation. A new generation also distinguishes this process from a
// predecessor with the same generation.
func (c *core) refute(d *pb.RouterDelta) {
	self := c.self
	switch {
	case d.Generation < self.generation:
		return
	case d.Dead || d.Generation > self.generation || d.Status.Incarnation != self.status.Incarnation:
		self.generation = d.Generation + 1
	case d.Suspect && d.Status.Version >= self.status.Version:
	case d.Status.Version > self.status.Version:
	default:
		return
	}
	c.counts.refutations++
	c.recordRouterEvent(self, eventSelfSuspected)
	c.publishSelf(func(s *pb.RouterStatus) { s.Version = max(s.Version, d.Status.Version+1) })
}

// suspectTimeout grows with the fleet, since updates take longer to reach all routers
// of a larger one.
func (c *core) suspectTimeout() time.Duration {
	scale := math.Log10(max(smallFleet, float64(len(c.routers)+1)))
	return time.Duration(float64(c.intervals.Suspect) * scale)
}

// randomPeers returns up to n random routers that are not known to be dead, without the
// router with the excluded id.
func (c *core) randomPeers(n int, exclude string) []*routerEntry {
	var peers []*routerEntry
	for _, id := range c.sortedRouterIDs() {
		if e := c.routers[id]; e.state != dead && id != exclude {
			peers = append(peers, e)
		}
	}
	c.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
