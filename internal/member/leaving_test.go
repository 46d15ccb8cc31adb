package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestLeavingInALargeFleet has a router of 300 hear that a target leaves: within 150 ms
// all know, though none sends more datagrams than a small replica's link and budget
// bear.
func TestLeavingInALargeFleet(t *testing.T) {
	const (
		routers, targets = 300, 5
		bound            = 150 * time.Millisecond
		mostDatagrams    = 64
	)
	w := newLargeWorld(routers, targets)
	w.introduce()
	w.run(time.Second)
	left := w.targets[0].status
	w.targets[0].running = false
	updates := make(map[string]int)
	for _, n := range w.nodes {
		n.core.packets()
	}
	w.onTransmit = func(from *node, p packet) {
		if p.msg.Kind == pb.GossipKind_GOSSIP_KIND_UPDATE {
			updates[from.status.Id]++
		}
	}
	origin := w.nodes[7]
	w.after(0, func() {
		origin.core.describe(w.now, &pb.TargetStatus{Id: left.Id, Incarnation: left.Incarnation, Leaving: true})
		origin.core.tellLeaving(w.now, left.Id)
	})
	w.run(bound)
	unheard := 0
	for _, n := range w.nodes {
		if e := n.core.targets[left.Id]; e != nil && !e.status.Leaving {
			unheard++
		}
	}
	if unheard > 0 {
		t.Errorf("%d of %d routers have not heard after %v", unheard, routers, bound)
	}
	for id, n := range updates {
		if n > mostDatagrams {
			t.Errorf("%s sent %d datagrams, want at most %d", id, n, mostDatagrams)
		}
	}
}

// TestUpdatesArePassedOnOnce has updates that are divided into too few parts, or name
// none of them, be rejected.
func TestUpdatesArePassedOnOnce(t *testing.T) {
	codec := newCodec("secret")
	for _, c := range []struct {
		parts, part uint32
		ok          bool
	}{{0, 0, true}, {minParts, 0, true}, {minParts, minParts - 1, true}, {1, 0, false}, {minParts, minParts, false}} {
		m := &pb.Gossip{Kind: pb.GossipKind_GOSSIP_KIND_UPDATE, From: "r1", Parts: c.parts, Part: c.part}
		datagram, err := codec.encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := codec.decode(datagram); (err == nil) != c.ok {
			t.Errorf("part %d of %d: %v", c.part, c.parts, err)
		}
	}
}
