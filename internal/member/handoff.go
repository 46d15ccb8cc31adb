package member

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// stepHandOff is the step in errors of hand-offs.
	stepHandOff = "hand off notice"
	// handoffRetry is the time after which a notice that not enough routers have
	// acknowledged is sent to further ones.
	handoffRetry = 150 * time.Millisecond
	// handoffSpares is the number of routers beyond the needed ones that are sent the notice
	// at once, so that a single lost datagram or dead router costs no time.
	handoffSpares = 1
)

// handoff is the notice that an incarnation of a target leaves, while it is handed to other
// routers: it must not be lost with this one, since the target does not repeat it.
type handoff struct {
	id          string
	incarnation uint64
	// needed is the number of other routers that must hold the notice.
	needed int
	// sentTo and heldBy hold the ids of the routers that were sent the notice and of those
	// that acknowledged it.
	sentTo  map[string]bool
	heldBy  map[string]bool
	retryAt time.Time
	// done is closed by the user of the core once finished returns the handoff.
	done chan struct{}
}

func (h *handoff) complete() bool { return len(h.heldBy) >= h.needed }

// startHandoff sends the notice that a target leaves to other routers in pings, whose
// acknowledgements prove that the receivers hold it. It returns nil if enough routers were
// sent it before and acknowledged it, or if this router knows of no other one.
func (c *core) startHandoff(now time.Time, id string, needed int) *handoff {
	past, known := c.history.get(id)
	if !known || !past.left || past.handedOff {
		return nil
	}
	h := &handoff{
		id:          id,
		incarnation: past.incarnation,
		needed:      min(needed, c.knownInstances()),
		sentTo:      make(map[string]bool),
		heldBy:      make(map[string]bool),
		done:        make(chan struct{}),
	}
	if h.complete() {
		return nil
	}
	c.handoffs = append(c.handoffs, h)
	c.sendHandoff(now, h)
	return h
}

// endHandoff forgets a handoff that its user no longer waits for.
func (c *core) endHandoff(h *handoff) {
	c.handoffs = slices.DeleteFunc(c.handoffs, func(o *handoff) bool { return o == h })
}

// knownInstances returns the number of other instances that this router knows of, reachable
// or not: a router that is cut off must not take itself for the only one.
func (c *core) knownInstances() int {
	n := 0
	for _, e := range c.routers {
		if e.status.State != pb.RouterState_ROUTER_STATE_GONE {
			n++
		}
	}
	return max(n, len(c.seeds))
}

// sendHandoff sends the notice to as many routers as are still needed, and handoffSpares more.
func (c *core) sendHandoff(now time.Time, h *handoff) {
	h.retryAt = now.Add(handoffRetry)
	d := c.targetDelta(now, h.id)
	if d == nil || !d.Status.Leaving {
		return
	}
	peers := c.handoffPeers(h)
	for _, e := range peers[:min(len(peers), h.needed-len(h.heldBy)+handoffSpares)] {
		h.sentTo[e.status.Id] = true
		c.ping(now, e, budget.Drain, h, d)
	}
}

// handoffPeers returns the routers that don't hold the notice, in the order in which they are
// sent it: those not tried before, those of other data centres, since a whole one may be lost
// at once, and replicas.
func (c *core) handoffPeers(h *handoff) []*routerEntry {
	rank := func(e *routerEntry) int {
		return 4*bit(h.sentTo[e.status.Id]) + 2*bit(e.status.DataCentre == c.self.status.DataCentre) + bit(!e.status.Replica)
	}
	peers := slices.DeleteFunc(c.randomPeers(len(c.routers), ""), func(e *routerEntry) bool { return h.heldBy[e.status.Id] })
	slices.SortStableFunc(peers, func(a, b *routerEntry) int { return cmp.Compare(rank(a), rank(b)) })
	return peers
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// retryHandoffs sends the notices of the handoffs that are due to further routers.
func (c *core) retryHandoffs(now time.Time) {
	for _, h := range c.handoffs {
		if !now.Before(h.retryAt) {
			c.sendHandoff(now, h)
		}
	}
}

// recordHeld records that a router holds the notice of a handoff.
func (c *core) recordHeld(h *handoff, router string) {
	h.heldBy[router] = true
	if !h.complete() || !slices.Contains(c.handoffs, h) {
		return
	}
	c.endHandoff(h)
	c.history.setHandedOff(h.id, h.incarnation)
	c.finished = append(c.finished, h)
}

// drainFinished returns the handoffs that were completed since the last call.
func (c *core) drainFinished() []*handoff {
	finished := c.finished
	c.finished = nil
	return finished
}

// HandOffLeaving waits until enough other routers hold the notice that the last known
// incarnation of a target leaves, which must have been applied before. It fails if they don't
// acknowledge it before ctx ends; the notice may be lost with this process then.
func (m *Members) HandOffLeaving(ctx context.Context, id string) error {
	var h *handoff
	m.do(func(c *core, now time.Time) { h = c.startHandoff(now, id, m.noticeCopies) })
	if h == nil {
		return nil
	}
	select {
	case <-h.done:
		return nil
	case <-m.stop:
	case <-ctx.Done():
	}
	held := 0
	m.do(func(c *core, _ time.Time) {
		c.endHandoff(h)
		held = len(h.heldBy)
	})
	if held >= h.needed {
		return nil
	}
	return errs.New(stepHandOff, id, fmt.Sprintf("%d of %d other instances hold the notice that the target leaves", held, h.needed))
}
