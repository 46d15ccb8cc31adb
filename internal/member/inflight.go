package member

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxInFlight bounds the targets in one datagram.
	maxInFlight = 180
	// inFlightBytes is what one target takes of it, inFlightOverheadBytes about
	// what the rest takes with the packet's headers.
	inFlightBytes         = 5
	inFlightOverheadBytes = 110
)

// InFlightBytes is about what it takes to tell one router of so many targets.
func InFlightBytes(targets int) int {
	datagrams := (targets + maxInFlight - 1) / maxInFlight
	return targets*inFlightBytes + datagrams*inFlightOverheadBytes
}

// InFlight counts requests in flight by target key.
type InFlight struct {
	Counts map[uint32]int
	// Collector is the router that added up the counts of all; empty if they are
	// the sender's own.
	Collector string
	// Steps is how many routers have passed the counts on, the collector included.
	Steps uint32
}

// SendInFlight tells routers, by peer address, of requests in flight, one after the
// other while the budget allows. It returns the number of routers told. Lost
// messages are made up for by the next ones.
func (m *Members) SendInFlight(to []string, f InFlight) (told int) {
	m.do(func(c *core, now time.Time) {
		messages := c.inFlightMessages(f)
		for _, addr := range to {
			for _, msg := range messages {
				if !c.send(now, addr, budget.Load, msg) {
					return
				}
			}
			told++
		}
	})
	return told
}

// inFlightMessages divides the counts into datagrams.
func (c *core) inFlightMessages(f InFlight) []*pb.Gossip {
	var messages []*pb.Gossip
	for part := range slices.Chunk(slices.Sorted(maps.Keys(f.Counts)), maxInFlight) {
		msg := c.message(pb.GossipKind_GOSSIP_KIND_IN_FLIGHT, c.newNonce())
		msg.InFlight = &pb.InFlight{Keys: part, Collector: f.Collector, Steps: f.Steps}
		for _, key := range part {
			msg.InFlight.Counts = append(msg.InFlight.Counts, uint32(f.Counts[key]))
		}
		messages = append(messages, msg)
	}
	return messages
}

func (m *Members) takeInFlight(msg *pb.Gossip) {
	if m.onInFlight == nil {
		return
	}
	in := msg.GetInFlight()
	f := InFlight{Counts: make(map[uint32]int, len(in.GetKeys())), Collector: in.GetCollector(), Steps: in.GetSteps()}
	for i, key := range in.GetKeys() {
		f.Counts[key] = int(in.Counts[i])
	}
	m.onInFlight(msg.From, f)
}
