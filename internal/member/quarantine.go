package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// SendQuarantine sends a message about parts of prompts that crash targets to the routers
// with these peer addresses, one after the other until the budget is used up. Messages may
// be lost.
func (m *Members) SendQuarantine(to []string, q *pb.Quarantine) {
	m.do(func(c *core, now time.Time) {
		for _, addr := range to {
			msg := c.newMessage(pb.GossipKind_GOSSIP_KIND_QUARANTINE, c.newNonce())
			msg.Quarantine = q
			if !c.send(now, addr, budget.Liveness, msg) {
				return
			}
		}
	})
}

func (m *Members) handleQuarantine(msg *pb.Gossip, from string) {
	if m.onQuarantine != nil && msg.Quarantine != nil {
		m.onQuarantine(msg.From, from, msg.Quarantine)
	}
}
