package member

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxRouters bounds the table of routers, dead ones included.
	maxRouters = 4096
	// deadRetention is how long a dead router is remembered and tried again.
	deadRetention = 6 * time.Hour
	// pauseBound is the time without a tick after which a process counts as
	// having been paused.
	pauseBound = 2 * maxProbeInterval
	// leaveFanout is the number of peers that a leaving router tells.
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

// routerEntry is one router as this one knows it.
type routerEntry struct {
	status *pb.RouterStatus
	// generation identifies one life: a dead generation never returns.
	generation   uint64
	state        liveness
	suspectUntil time.Time
	diedAt       time.Time
	// hash and bucket place the entry in digests.
	hash   uint32
	bucket int
}

func (e *routerEntry) rehash() {
	e.bucket = bucketOf(e.status.Id)
	e.hash = fold(hashOf(e.status.Id, e.generation, e.status.Incarnation, e.status.Version))
}

// hashOf hashes a name and numbers.
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

// goneDelta tells that the router left by itself.
func (e *routerEntry) goneDelta() *pb.RouterDelta {
	return e.deadDelta(pb.RouterState_ROUTER_STATE_GONE)
}

// mergeRouter takes news of one router. A higher generation replaces all; in
// the same one dead is final, a higher version wins, and at equal versions a
// suspicion does.
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
			// The sender has not heard of the death yet.
			c.news.add(routerNews, id)
		}
	case d.Dead:
		c.declareDead(now, e, d.Status.State)
	case newer(d.Status, e.status):
		c.replaceRouter(now, e, d)
	case d.Suspect && d.Status.Incarnation == e.status.Incarnation && d.Status.Version == e.status.Version:
		c.suspectRouter(now, e)
	}
}

// newer tells whether a is the later status of one generation. A restarted
// process may begin with the generation that its forerunner had taken last;
// its incarnation is the higher one.
func newer(a, b *pb.RouterStatus) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// replaceRouter takes d as all that is known of its router.
func (c *core) replaceRouter(now time.Time, old *routerEntry, d *pb.RouterDelta) {
	invariant.Check(old.state != dead || d.Generation > old.generation, "dead router returns",
		"router", d.Status.Id, "generation", d.Generation, "dead", old.generation)
	e := &routerEntry{status: d.Status, generation: d.Generation}
	if d.Dead && old.status != nil {
		// Its address is where it is asked for later.
		e.status = old.status
	}
	if old.status.GetIncarnation() == d.Status.Incarnation && old.status.GetRoutingTable() > e.status.RoutingTable {
		// The number is newer than this status.
		e.status = withRoutingTable(e.status, old.status.RoutingTable)
	}
	c.routers[d.Status.Id] = e
	e.rehash()
	c.news.add(routerNews, d.Status.Id)
	c.routerChanges++
	switch {
	case d.Dead:
		c.declareDead(now, e, d.Status.State)
	case d.Suspect:
		c.suspectRouter(now, e)
	case old.status == nil || old.generation < e.generation:
		c.note(e, eventAppeared)
	case old.state == suspect:
		c.note(e, eventRefuted)
	}
}

func (c *core) suspectRouter(now time.Time, e *routerEntry) {
	if e.state != alive {
		return
	}
	e.state = suspect
	e.suspectUntil = now.Add(c.suspectTimeout())
	c.counts.suspicions++
	c.note(e, eventSuspected)
	c.news.add(routerNews, e.status.Id)
}

// declareDead ends a generation for good.
func (c *core) declareDead(now time.Time, e *routerEntry, state pb.RouterState) {
	e.state = dead
	e.diedAt = now
	e.status = &pb.RouterStatus{Id: e.status.Id, PeerAddr: e.status.PeerAddr, State: state}
	if state == pb.RouterState_ROUTER_STATE_GONE {
		c.note(e, eventLeft)
	} else {
		c.counts.deaths++
		c.note(e, eventDead)
	}
	c.news.add(routerNews, e.status.Id)
	c.routerChanges++
}

func (c *core) expireSuspicions(now time.Time) {
	for _, e := range c.routers {
		if e.state == suspect && !now.Before(e.suspectUntil) {
			c.declareDead(now, e, pb.RouterState_ROUTER_STATE_UNSPECIFIED)
		}
	}
}

// refute answers a false claim about this router itself: a suspicion by a new
// version, a death by a new generation. A new one also sets it apart from a
// forerunner that had the same.
func (c *core) refute(d *pb.RouterDelta) {
	own := c.self
	switch {
	case d.Generation < own.generation:
		return
	case d.Dead || d.Generation > own.generation || d.Status.Incarnation != own.status.Incarnation:
		own.generation = d.Generation + 1
	case d.Suspect && d.Status.Version >= own.status.Version:
	case d.Status.Version > own.status.Version:
	default:
		return
	}
	c.counts.refutations++
	c.note(own, eventAccused)
	c.publishSelf(func(s *pb.RouterStatus) { s.Version = max(s.Version, d.Status.Version+1) })
}

// suspectTimeout grows with the fleet, since news takes longer to pass it.
func (c *core) suspectTimeout() time.Duration {
	scale := math.Log10(max(smallFleet, float64(len(c.routers)+1)))
	return time.Duration(float64(c.iv.Suspect) * scale)
}

// randomPeers returns up to n routers not known to be dead, without one id.
func (c *core) randomPeers(n int, without string) []*routerEntry {
	var peers []*routerEntry
	for _, id := range c.sortedRouters() {
		if e := c.routers[id]; e.state != dead && id != without {
			peers = append(peers, e)
		}
	}
	c.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
