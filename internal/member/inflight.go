package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// leavingFanout is the number of routers that are told at once of a target
	// that leaves; the others hear of it by probes.
	leavingFanout = 24
	// maxInFlight bounds the targets in one message.
	maxInFlight = 100
	// inFlightFanout is the number of routers that are sent one count.
	inFlightFanout = 16
)

// tellLeaving sends the news that a target leaves without waiting for probes.
func (c *core) tellLeaving(now time.Time, id string) {
	d := c.targetDelta(id)
	if d == nil || !d.Status.Leaving {
		return
	}
	for _, e := range c.randomPeers(leavingFanout, "") {
		m := c.message(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
		m.Targets = []*pb.TargetDelta{d}
		c.send(now, e.status.PeerAddr, budget.Drain, m)
	}
}

// ShareInFlight tells other routers of the requests in flight here by target
// key. Lost messages are made up for by the next one.
func (m *Members) ShareInFlight(counts map[uint64]int) {
	m.do(func(c *core, now time.Time) {
		msg := c.message(pb.GossipKind_GOSSIP_KIND_IN_FLIGHT, c.newNonce())
		msg.InFlight = &pb.InFlight{}
		for key, n := range counts {
			if len(msg.InFlight.Keys) == maxInFlight {
				break
			}
			msg.InFlight.Keys = append(msg.InFlight.Keys, key)
			msg.InFlight.Counts = append(msg.InFlight.Counts, uint32(n))
		}
		for _, e := range c.randomPeers(inFlightFanout, "") {
			if e.status.CallerAddr != "" {
				c.send(now, e.status.PeerAddr, budget.Load, msg)
			}
		}
	})
}

func (m *Members) takeInFlight(msg *pb.Gossip) {
	if m.onInFlight == nil {
		return
	}
	counts := make(map[uint64]int, len(msg.GetInFlight().GetKeys()))
	for i, key := range msg.GetInFlight().GetKeys() {
		counts[key] = int(msg.InFlight.Counts[i])
	}
	m.onInFlight(msg.From, counts)
}
