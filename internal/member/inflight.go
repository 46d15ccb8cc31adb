package member

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

const (
	// maxInFlightPerDatagram limits the number of targets in one datagram.
	maxInFlightPerDatagram = 180
	// inFlightEntryBytes is the size of one target's entry; inFlightOverheadBytes
	// approximates the rest of the packet, IP and UDP headers included.
	inFlightEntryBytes    = 5
	inFlightOverheadBytes = 110
)

const (
	// maxCountEntryBytes and maxLimitEntryBytes are the largest sizes of the entries of one
	// target's count and of its limit.
	maxCountEntryBytes = 6
	maxLimitEntryBytes = 15
	// maxLimits limits the number of limits in one datagram.
	maxLimits = 64
)

// MaxLimits returns the number of limits that may be sent with the counts of the given number
// of targets. They are in the last datagram.
func MaxLimits(targets int) int {
	last := targets % maxInFlightPerDatagram
	if last == 0 && targets > 0 {
		last = maxInFlightPerDatagram
	}
	room := maxMessageBytes - inFlightOverheadBytes - last*maxCountEntryBytes
	return max(0, min(maxLimits, room/maxLimitEntryBytes))
}

// InFlightBytes estimates the bytes needed to send one router the counts of the given number
// of targets, and limits beside them. Paces, which are few, are not included.
func InFlightBytes(targets, limits int) int {
	datagrams := (targets + maxInFlightPerDatagram - 1) / maxInFlightPerDatagram
	return targets*inFlightEntryBytes + datagrams*inFlightOverheadBytes + limits*maxLimitEntryBytes
}

// InFlight is a set of in-flight request counts by target key.
type InFlight struct {
	Counts map[uint32]int
	// Collector is the router that summed the counts of all routers; empty if the
	// counts are the sender's own.
	Collector string
	// Hops is how many routers have forwarded the counts, the collector included.
	Hops uint32
	// Part is the number of the datagram in which the counts arrived, among those that
	// together hold the counts of the sender. It is not used for sending.
	Part int
	// Limits are rate limits that targets name, or that have ended.
	Limits []permits.Seen
	// Paces are reports of unusual paces, or of the end of one.
	Paces []cost.Report
}

// SendInFlight sends in-flight counts to routers, given by their peer addresses, one
// router after the other until the budget is used up. It returns the number of routers
// that were sent all counts. A lost message is not repeated; the next counts replace
// it.
func (m *Members) SendInFlight(to []string, f InFlight) (sentTo int) {
	m.do(func(c *core, now time.Time) {
		messages := c.inFlightMessages(now, f)
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
func (c *core) inFlightMessages(now time.Time, f InFlight) []*pb.Gossip {
	var messages []*pb.Gossip
	for keys := range slices.Chunk(slices.Sorted(maps.Keys(f.Counts)), maxInFlightPerDatagram) {
		msg := c.newMessage(pb.GossipKind_GOSSIP_KIND_IN_FLIGHT, c.newNonce())
		msg.InFlight = &pb.InFlight{Keys: keys, Collector: f.Collector, Steps: f.Hops, Part: uint32(len(messages))}
		for _, key := range keys {
			msg.InFlight.Counts = append(msg.InFlight.Counts, uint32(f.Counts[key]))
		}
		messages = append(messages, msg)
	}
	if len(messages) > 0 {
		setLimits(messages[len(messages)-1].InFlight, now, f.Limits)
		setPaces(messages[len(messages)-1].InFlight, now, f.Paces)
	}
	return messages
}

// noLimitPerSecond stands for the end of a limit.
const noLimitPerSecond = -1

func setLimits(in *pb.InFlight, now time.Time, limits []permits.Seen) {
	for _, l := range limits {
		perSecond := float64(noLimitPerSecond)
		if l.Named {
			perSecond = l.PerSecond
		}
		in.LimitedTargets = append(in.LimitedTargets, l.Target)
		in.LimitAgesMs = append(in.LimitAgesMs, ageMs(now, l.At))
		in.LimitsPerSecond = append(in.LimitsPerSecond, perSecond)
	}
}

func limits(in *pb.InFlight, now time.Time) []permits.Seen {
	var list []permits.Seen
	for i, target := range in.GetLimitedTargets() {
		l := permits.Seen{Target: target, Observation: permits.Observation{At: now.Add(-milliseconds(in.LimitAgesMs[i]))}}
		if perSecond := in.LimitsPerSecond[i]; perSecond >= 0 {
			l.Limit = permits.Limit{Named: true, PerSecond: perSecond}
		}
		list = append(list, l)
	}
	return list
}

// validLimits reports whether the lists of limits have the same length.
func validLimits(in *pb.InFlight) bool {
	n := len(in.GetLimitedTargets())
	return len(in.GetLimitAgesMs()) == n && len(in.GetLimitsPerSecond()) == n
}

func (m *Members) handleInFlight(msg *pb.Gossip) {
	if m.onInFlight == nil {
		return
	}
	in := msg.GetInFlight()
	f := InFlight{
		Counts:    make(map[uint32]int, len(in.GetKeys())),
		Collector: in.GetCollector(),
		Hops:      in.GetSteps(),
		Part:      int(in.GetPart()),
		Limits:    limits(in, time.Now()),
		Paces:     paces(in, time.Now()),
	}
	for i, key := range in.GetKeys() {
		f.Counts[key] = int(in.Counts[i])
	}
	m.onInFlight(msg.From, f)
}
