package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// SendPlacing sends a placement message, which concerns the slot of one request at a
// target, to the router at a peer address. The message may be lost; it is dropped if its
// service or its targets have such long names that it exceeds a datagram.
func (m *Members) SendPlacing(to string, p *pb.Placing) {
	m.do(func(c *core, now time.Time) {
		msg := c.newMessage(pb.GossipKind_GOSSIP_KIND_PLACING, c.newNonce())
		msg.Placing = p
		if size := proto.Size(msg); size > maxMessageBytes {
			m.log.Warn().Str("step", "send datagram").Str("peer", to).Uint64("place", p.Place).Int("bytes", size).Int("limit", maxMessageBytes).
				Msg("a placement message is too large and was dropped")
			return
		}
		c.send(now, to, budget.Request, msg)
	})
}

func (m *Members) handlePlacing(msg *pb.Gossip, from string) {
	if m.onPlacing != nil && msg.Placing != nil {
		m.onPlacing(msg.From, from, msg.Placing)
	}
}
