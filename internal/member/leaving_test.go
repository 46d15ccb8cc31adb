package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestLeavingInALargeFleet notifies one of 300 routers that a target leaves. Within 150
// ms all routers must know this, and none may send more datagrams than the link and the
// budget of a small replica allow.
func TestLeavingInALargeFleet(t *testing.T) {
	const (
		routers, targets = 300, 5
		bound            = 150 * time.Millisecond
		mostDatagrams    = 64
	)
	w := newLargeSimulation(routers, targets)
	w.shareViews()
	w.run(time.Second)
	left := w.targets[0].status
	w.targets[0].running = false
	updates := make(map[string]int)
	for _, n := range w.nodes {
		n.core.drainPackets()
	}
	w.onTransmit = func(from *node, p packet) {
		if p.msg.Kind == pb.GossipKind_GOSSIP_KIND_UPDATE {
			updates[from.status.Id]++
		}
	}
	origin := w.nodes[7]
	w.after(0, func() {
		origin.core.applyStatus(w.now, &pb.TargetStatus{Id: left.Id, Incarnation: left.Incarnation, Leaving: true})
		origin.core.scheduleLeavingUpdate(w.now, left.Id)
	})
	w.run(bound)
	uninformed := 0
	for _, n := range w.nodes {
		if e := n.core.targets[left.Id]; e != nil && !e.status.Leaving {
			uninformed++
		}
	}
	if uninformed > 0 {
		t.Errorf("%d of %d routers still list the target as not leaving after %v", uninformed, routers, bound)
	}
	for id, n := range updates {
		if n > mostDatagrams {
			t.Errorf("%s sent %d datagrams, want at most %d", id, n, mostDatagrams)
		}
	}
}

// TestUpdatesArePassedOnOnce checks that the codec rejects updates that are divided
// into too few parts or name a part that does not exist. Otherwise a router could be
// asked to forward an update to too many others.
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
