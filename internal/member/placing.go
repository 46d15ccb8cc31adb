package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// SendPlacing sends a placement message, which concerns the slot of one request at a
// target, to the router at a peer address. The message may be lost.
func (m *Members) SendPlacing(to string, p *pb.Placing) {
	m.do(func(c *core, now time.Time) {
		msg := c.newMessage(pb.GossipKind_GOSSIP_KIND_PLACING, c.newNonce())
		msg.Placing = p
		c.send(now, to, budget.Request, msg)
	})
}

func (m *Members) handlePlacing(msg *pb.Gossip, from string) {
	if m.onPlacing != nil && msg.Placing != nil {
		m.onPlacing(msg.From, from, msg.Placing)
	}
}
