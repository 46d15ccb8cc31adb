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
	// leavingDelay is how long news of targets that leave is gathered, leavingRepeat
	// when it is sent once more, in case datagrams were lost.
	leavingDelay  = 30 * time.Millisecond
	leavingRepeat = 500 * time.Millisecond
	// maxLeaving bounds the targets in one datagram.
	maxLeaving = 6
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

// tellLeaving has the news that a target leaves sent without waiting for probes.
// What comes within leavingDelay shares its datagrams.
func (c *core) tellLeaving(now time.Time, id string) {
	if d := c.targetDelta(id); d == nil || !d.Status.Leaving {
		return
	}
	if len(c.leaving.fresh) == 0 {
		c.leaving.due = now.Add(leavingDelay)
	}
	c.leaving.fresh = append(c.leaving.fresh, id)
}

// leavingNews are targets of whose leaving the other routers are told at once.
type leavingNews struct {
	// fresh are told of at due, repeat once more at again.
	fresh  []string
	due    time.Time
	repeat []string
	again  time.Time
}

// next returns when there is something to tell, or later.
func (l *leavingNews) next(later time.Time) time.Time {
	if len(l.fresh) > 0 {
		later = earliest(later, l.due)
	}
	if len(l.repeat) > 0 {
		later = earliest(later, l.again)
	}
	return later
}

// spreadLeaving tells what is due.
func (c *core) spreadLeaving(now time.Time) {
	l := &c.leaving
	if len(l.repeat) > 0 && !now.Before(l.again) {
		c.sendLeaving(now, l.repeat)
		l.repeat = nil
	}
	if len(l.fresh) > 0 && !now.Before(l.due) {
		c.sendLeaving(now, l.fresh)
		if len(l.repeat) == 0 {
			l.again = now.Add(leavingRepeat)
		}
		l.repeat = append(l.repeat, l.fresh...)
		l.fresh = nil
	}
}

func (c *core) sendLeaving(now time.Time, ids []string) {
	for part := range slices.Chunk(ids, maxLeaving) {
		var deltas []*pb.TargetDelta
		for _, id := range part {
			// One that has started again since leaves no more.
			if d := c.targetDelta(id); d != nil && d.Status.Leaving {
				deltas = append(deltas, d)
			}
		}
		for _, e := range c.randomPeers(leavingFanout, "") {
			m := c.message(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
			m.Targets = deltas
			c.send(now, e.status.PeerAddr, budget.Drain, m)
		}
	}
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
