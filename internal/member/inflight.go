package member

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxInFlightPerDatagram limits the targets in one datagram.
	maxInFlightPerDatagram = 180
	// inFlightEntryBytes is the size of one target's entry; inFlightOverheadBytes
	// approximates the rest of the datagram, packet headers included.
	inFlightEntryBytes    = 5
	inFlightOverheadBytes = 110
)

// InFlightBytes estimates the bytes needed to send one router the counts of the given
// number of targets.
func InFlightBytes(targets int) int {
	datagrams := (targets + maxInFlightPerDatagram - 1) / maxInFlightPerDatagram
	return targets*inFlightEntryBytes + datagrams*inFlightOverheadBytes
}

// InFlight is a set of in-flight request counts by target key.
type InFlight struct {
	Counts map[uint32]int
	// Collector is the router that summed the counts of all routers; empty if the
	// counts are the sender's own.
	Collector string
	// Hops is how many routers have forwarded the counts, the collector included.
	Hops uint32
}

// SendInFlight sends in-flight counts to routers, by peer address, one after the other
// while the budget allows. It returns the number of routers sent to. Lost messages are
// not repeated; the next ones replace them.
func (m *Members) SendInFlight(to []string, f InFlight) (sentTo int) {
	m.do(func(c *core, now time.Time) {
		messages := c.inFlightMessages(f)
		for _, addr := range to {
			for _, msg := range messages {
				if !c.send(now, addr, budget.Load, msg) {
					return
				}
			}
			sentTo++
		}
	})
	return sentTo
}

// inFlightMessages splits the counts into datagrams.
func (c *core) inFlightMessages(f InFlight) []*pb.Gossip {
	var messages []*pb.Gossip
	for part := range slices.Chunk(slices.Sorted(maps.Keys(f.Counts)), maxInFlightPerDatagram) {
		msg := c.newMessage(pb.GossipKind_GOSSIP_KIND_IN_FLIGHT, c.newNonce())
		msg.InFlight = &pb.InFlight{Keys: part, Collector: f.Collector, Steps: f.Hops}
		for _, key := range part {
			msg.InFlight.Counts = append(msg.InFlight.Counts, uint32(f.Counts[key]))
		}
		messages = append(messages, msg)
	}
	return messages
}

func (m *Members) handleInFlight(msg *pb.Gossip) {
	if m.onInFlight == nil {
		return
	}
	in := msg.GetInFlight()
	f := InFlight{Counts: make(map[uint32]int, len(in.GetKeys())), Collector: in.GetCollector(), Hops: in.GetSteps()}
	for i, key := range in.GetKeys() {
		f.Counts[key] = int(in.Counts[i])
	}
	m.onInFlight(msg.From, f)
}
