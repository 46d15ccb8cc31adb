package member

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// retransmitFactor times the binary logarithm of the fleet's size is how often a
	// router sends one update.
	retransmitFactor = 1
	// maxUpdateBytes is the size after which no more updates are added to a message.
	maxUpdateBytes = 600
	// deltaOverheadBytes are the tag and length of one delta.
	deltaOverheadBytes = 3
)

func (c *core) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(c.routers)+2))))
}

// sendWithUpdates sends m with as many piggybacked updates as fit. Updates wait while
// the budget is short, except that a target leaves: such an update is sent in the drain
// class.
func (c *core) sendWithUpdates(now time.Time, to string, class budget.Class, m *pb.Gossip) bool {
	base := proto.Size(m) + headerBytes + packetOverheadBytes
	routers, targets := len(m.Routers), len(m.Targets)
	picked, urgent := c.addUpdates(m)
	withNews := max(class, budget.Load)
	if urgent {
		withNews = budget.Drain
	}
	if len(picked) > 0 && c.send(now, to, withNews, m) {
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

// addUpdates fills m with queued updates, the least often sent first. One update may
// exceed maxUpdateBytes, so that large statuses are sent too.
func (c *core) addUpdates(m *pb.Gossip) (picked []*queuedUpdate, urgent bool) {
	if len(c.updates.items) == 0 {
		return nil, false
	}
	room := maxMessageBytes - proto.Size(m)
	added := 0
	for _, item := range c.updates.ordered() {
		if added >= maxUpdateBytes {
			break
		}
		size, leaving := c.addUpdate(m, item, room-added)
		if size == 0 {
			continue
		}
		added += size
		picked = append(picked, item)
		urgent = urgent || leaving
	}
	return picked, urgent
}

// addUpdate adds one update if it fits; it returns its size in bytes.
func (c *core) addUpdate(m *pb.Gossip, item *queuedUpdate, room int) (size int, leaving bool) {
	if item.key.kind == targetUpdate {
		return c.addTargetUpdate(m, item.key, room)
	}
	return c.addRouterUpdate(m, item.key, room), false
}

func (c *core) addTargetUpdate(m *pb.Gossip, key updateKey, room int) (size int, leaving bool) {
	d := c.targetDelta(key.id)
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
