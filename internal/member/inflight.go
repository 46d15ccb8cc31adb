package member

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// leavingFanout is the number of routers that are told at once of a target
	// that leaves; the others hear of it by probes.
	leavingFanout = 128
	// maxInFlight bounds the targets in one datagram.
	maxInFlight = 180
)

// InFlight counts requests in flight by target key.
type InFlight struct {
	Counts map[uint32]int
	// Totals tells that the counts are those of all routers.
	Totals bool
}

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

// SendInFlight tells some routers, by peer address, of requests in flight. Lost
// messages are made up for by the next ones.
func (m *Members) SendInFlight(to []string, f InFlight) {
	keys := slices.Sorted(maps.Keys(f.Counts))
	m.do(func(c *core, now time.Time) {
		for part := range slices.Chunk(keys, maxInFlight) {
			msg := c.message(pb.GossipKind_GOSSIP_KIND_IN_FLIGHT, c.newNonce())
			msg.InFlight = &pb.InFlight{Keys: part, Totals: f.Totals}
			for _, key := range part {
				msg.InFlight.Counts = append(msg.InFlight.Counts, uint32(f.Counts[key]))
			}
			for _, addr := range to {
				c.send(now, addr, budget.Load, msg)
			}
		}
	})
}

func (m *Members) takeInFlight(msg *pb.Gossip) {
	if m.onInFlight == nil {
		return
	}
	f := InFlight{Counts: make(map[uint32]int, len(msg.GetInFlight().GetKeys())), Totals: msg.GetInFlight().GetTotals()}
	for i, key := range msg.GetInFlight().GetKeys() {
		f.Counts[key] = int(msg.InFlight.Counts[i])
	}
	m.onInFlight(msg.From, f)
}
