package member

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// leavingFanout is the maximum number of routers that one router notifies directly
	// of a leaving target. In a larger fleet a router notifies about the square root of
	// the number of routers, and each of these forwards the update to as many.
	leavingFanout = 128
	// minParts is the minimum number of parts that an update may be divided into, so
	// that no router is asked to forward it to more than about 500 others, maxRouters
	// divided by minParts.
	minParts = 8
	// leavingDelay is how long updates of leaving targets are batched. leavingRepeat is
	// the time until a batch is sent once more, in case datagrams were lost; batches
	// that are sent meanwhile are repeated together with that batch.
	leavingDelay  = 30 * time.Millisecond
	leavingRepeat = 500 * time.Millisecond
	// maxLeavingPerDatagram limits the number of targets in one datagram.
	maxLeavingPerDatagram = 6
)

// scheduleLeavingUpdate schedules an update that a target leaves. The update does not
// wait for the next probe, as other updates do. Updates within leavingDelay share their
// datagrams.
func (c *core) scheduleLeavingUpdate(now time.Time, id string) {
	if d := c.targetDelta(now, id); d == nil || !d.Status.Leaving {
		return
	}
	if len(c.leavingUpdates.pending) == 0 {
		c.leavingUpdates.dueAt = now.Add(leavingDelay)
	}
	c.leavingUpdates.pending = append(c.leavingUpdates.pending, id)
}

// leavingQueue holds the leaving targets that the other routers are to be notified of
// immediately.
type leavingQueue struct {
	// pending targets are sent at dueAt; resend targets are sent once more at resendAt.
	pending  []string
	dueAt    time.Time
	resend   []string
	resendAt time.Time
}

// next returns the earliest of t and the times at which updates are due.
func (l *leavingQueue) next(t time.Time) time.Time {
	if len(l.pending) > 0 {
		t = earliest(t, l.dueAt)
	}
	if len(l.resend) > 0 {
		t = earliest(t, l.resendAt)
	}
	return t
}

// sendDueLeaving sends the updates that are due.
func (c *core) sendDueLeaving(now time.Time) {
	l := &c.leavingUpdates
	if len(l.resend) > 0 && !now.Before(l.resendAt) {
		c.sendLeaving(now, l.resend)
		l.resend = nil
	}
	if len(l.pending) > 0 && !now.Before(l.dueAt) {
		c.sendLeaving(now, l.pending)
		if len(l.resend) == 0 {
			l.resendAt = now.Add(leavingRepeat)
		}
		l.resend = append(l.resend, l.pending...)
		l.pending = nil
	}
}

func (c *core) sendLeaving(now time.Time, ids []string) {
	for part := range slices.Chunk(ids, maxLeavingPerDatagram) {
		var deltas []*pb.TargetDelta
		for _, id := range part {
			// A target that has restarted in the meantime is no longer leaving.
			if d := c.targetDelta(now, id); d != nil && d.Status.Leaving {
				deltas = append(deltas, d)
			}
		}
		c.sendUpdate(now, deltas)
	}
}

// sendUpdate notifies all routers of targets: up to leavingFanout routers directly,
// more in two hops. The two hops limit the datagrams that a small replica sends in a
// fleet of hundreds of routers.
func (c *core) sendUpdate(now time.Time, deltas []*pb.TargetDelta) {
	peers := c.randomPeers(len(c.routers), "")
	if len(peers) <= leavingFanout {
		for _, e := range peers {
			c.send(now, e.status.PeerAddr, budget.Drain, c.updateMessage(deltas))
		}
		return
	}
	parts := int(math.Ceil(math.Sqrt(float64(len(peers)))))
	for part, e := range peers[:parts] {
		m := c.updateMessage(deltas)
		m.Parts, m.Part = uint32(parts), uint32(part)
		c.send(now, e.status.PeerAddr, budget.Drain, m)
	}
}

func (c *core) updateMessage(deltas []*pb.TargetDelta) *pb.Gossip {
	m := c.newMessage(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
	m.Targets = deltas
	return m
}

// onUpdate forwards an update that is divided into parts to the routers of the part
// that the message names. It does not forward an update without parts.
func (c *core) onUpdate(now time.Time, m *pb.Gossip) {
	if m.Parts == 0 {
		return
	}
	for _, id := range c.sortedRouterIDs() {
		e := c.routers[id]
		if e.state != dead && id != m.From && hashOf(id)%uint64(m.Parts) == uint64(m.Part) {
			c.send(now, e.status.PeerAddr, budget.Drain, c.updateMessage(m.Targets))
		}
	}
}
