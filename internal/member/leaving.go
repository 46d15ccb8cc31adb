package member

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// leavingFanout is the number of routers that are told directly of a target that
	// leaves. In a larger fleet each of about the root of their number is told, and
	// passes it on to as many.
	leavingFanout = 128
	// minParts is the fewest parts that an update may be divided into, so that no
	// router is asked to pass it on to more than some hundred others.
	minParts = 8
	// leavingDelay is how long news of targets that leave is gathered, leavingRepeat
	// when it is sent once more, in case datagrams were lost.
	leavingDelay  = 30 * time.Millisecond
	leavingRepeat = 500 * time.Millisecond
	// maxLeaving bounds the targets in one datagram.
	maxLeaving = 6
)

// tellLeaving has the news that a target leaves sent without waiting for probes.
// What comes within leavingDelay shares its datagrams.
func (c *core) tellLeaving(now time.Time, id string) {
	if d := c.targetDelta(id); d == nil || !d.Status.Leaving {
		return
	}
	if len(c.leaving.fresh) == 0 {
		c.leaving.due = now.Add(leavingDelay)
	}
	c.leaving.fresh = append(c.leaving.fresh, id)
}

// leavingNews are targets of whose leaving the other routers are told at once.
type leavingNews struct {
	// fresh are told of at due, repeat once more at again.
	fresh  []string
	due    time.Time
	repeat []string
	again  time.Time
}

// next returns when there is something to tell, or later.
func (l *leavingNews) next(later time.Time) time.Time {
	if len(l.fresh) > 0 {
		later = earliest(later, l.due)
	}
	if len(l.repeat) > 0 {
		later = earliest(later, l.again)
	}
	return later
}

// spreadLeaving tells what is due.
func (c *core) spreadLeaving(now time.Time) {
	l := &c.leaving
	if len(l.repeat) > 0 && !now.Before(l.again) {
		c.sendLeaving(now, l.repeat)
		l.repeat = nil
	}
	if len(l.fresh) > 0 && !now.Before(l.due) {
		c.sendLeaving(now, l.fresh)
		if len(l.repeat) == 0 {
			l.again = now.Add(leavingRepeat)
		}
		l.repeat = append(l.repeat, l.fresh...)
		l.fresh = nil
	}
}

func (c *core) sendLeaving(now time.Time, ids []string) {
	for part := range slices.Chunk(ids, maxLeaving) {
		var deltas []*pb.TargetDelta
		for _, id := range part {
			// One that has started again since leaves no more.
			if d := c.targetDelta(id); d != nil && d.Status.Leaving {
				deltas = append(deltas, d)
			}
		}
		c.sendUpdate(now, deltas)
	}
}

// sendUpdate tells all routers of targets, up to leavingFanout of them directly and
// more in two steps: it answers fleets of hundreds, in which a small replica hears of
// targets that leave.
func (c *core) sendUpdate(now time.Time, deltas []*pb.TargetDelta) {
	peers := c.randomPeers(len(c.routers), "")
	if len(peers) <= leavingFanout {
		for _, e := range peers {
			c.send(now, e.status.PeerAddr, budget.Drain, c.update(deltas))
		}
		return
	}
	parts := int(math.Ceil(math.Sqrt(float64(len(peers)))))
	for part, e := range peers[:parts] {
		m := c.update(deltas)
		m.Parts, m.Part = uint32(parts), uint32(part)
		c.send(now, e.status.PeerAddr, budget.Drain, m)
	}
}

func (c *core) update(deltas []*pb.TargetDelta) *pb.Gossip {
	m := c.message(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
	m.Targets = deltas
	return m
}

// onUpdate passes an update on to the part of the routers that the sender asks for.
func (c *core) onUpdate(now time.Time, m *pb.Gossip) {
	if m.Parts == 0 {
		return
	}
	for _, id := range c.sortedRouters() {
		e := c.routers[id]
		if e.state != dead && id != m.From && hashOf(id)%uint64(m.Parts) == uint64(m.Part) {
			c.send(now, e.status.PeerAddr, budget.Drain, c.update(m.Targets))
		}
	}
}
