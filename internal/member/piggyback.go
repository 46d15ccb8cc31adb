package member

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// retransmitFactor scales the number of times that a router sends one update: this
	// factor times the binary logarithm of the fleet's size.
	retransmitFactor = 1
	// maxUpdateBytes is the size of the updates in a message from which on no more are
	// added.
	maxUpdateBytes = 600
	// deltaOverheadBytes is the size of the tag and length of one delta.
	deltaOverheadBytes = 3
)

func (c *core) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(c.routers)+2))))
}

// sendWithUpdates sends m with as many piggybacked updates as fit. If the budget is too
// short for the message with updates, it sends m without them, and the updates wait. A
// message with an update that a target leaves is sent in the drain class.
func (c *core) sendWithUpdates(now time.Time, to string, class budget.Class, m *pb.Gossip) bool {
	base := proto.Size(m) + headerBytes + packetOverheadBytes
	routers, targets := len(m.Routers), len(m.Targets)
	picked, urgent := c.addUpdates(now, m)
	classWithUpdates := max(class, budget.Load)
	if urgent {
		classWithUpdates = budget.Drain
	}
	if len(picked) > 0 && c.send(now, to, classWithUpdates, m) {
		c.updates.markSent(picked, c.retransmitLimit())
		c.pacer.record(base)
		return true
	}
	m.Routers, m.Targets = m.Routers[:routers], m.Targets[:targets]
	if c.send(now, to, class, m) {
		c.pacer.record(base)
		return true
	}
	return false
}

// addUpdates fills m with queued updates, urgent ones first, then the least often sent.
// The last update may exceed maxUpdateBytes, so that large statuses are sent too.
func (c *core) addUpdates(now time.Time, m *pb.Gossip) (picked []*queuedUpdate, urgent bool) {
	if len(c.updates.items) == 0 {
		return nil, false
	}
	room := maxMessageBytes - proto.Size(m)
	added := 0
	for _, item := range c.updates.ordered() {
		if added >= maxUpdateBytes {
			break
		}
		size, leaving := c.addUpdate(now, m, item, room-added)
		if size == 0 {
			continue
		}
		added += size
		picked = append(picked, item)
		urgent = urgent || leaving
	}
	return picked, urgent
}

// addUpdate adds one update if it fits. It returns the size in bytes, zero if the
// update was not added, and whether the update says that a target leaves.
func (c *core) addUpdate(now time.Time, m *pb.Gossip, item *queuedUpdate, room int) (size int, leaving bool) {
	if item.key.kind == targetUpdate {
		return c.addTargetUpdate(now, m, item.key, room)
	}
	return c.addRouterUpdate(m, item.key, room), false
}

func (c *core) addTargetUpdate(now time.Time, m *pb.Gossip, key updateKey, room int) (size int, leaving bool) {
	d := c.targetDelta(now, key.id)
	if d == nil {
		c.updates.remove(key)
		return 0, false
	}
	size = proto.Size(d) + deltaOverheadBytes
	if size > room {
		return 0, false
	}
	m.Targets = append(m.Targets, d)
	return size, d.Status.Leaving
}

func (c *core) addRouterUpdate(m *pb.Gossip, key updateKey, room int) (size int) {
	e := c.routers[key.id]
	if key.id == c.self.status.Id {
		e = c.self
	}
	if e == nil {
		c.updates.remove(key)
		return 0
	}
	d := e.delta()
	size = proto.Size(d) + deltaOverheadBytes
	if size > room {
		return 0
	}
	m.Routers = append(m.Routers, d)
	return size
}
