package member

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// leaveAt applies the notice that a target leaves at one node and begins to hand it to copies
// others.
func (w *simulation) leaveAt(n *node, st *pb.TargetStatus, copies int) (h *handoff) {
	w.after(0, func() {
		n.core.applyStatus(w.now, &pb.TargetStatus{Id: st.Id, Incarnation: st.Incarnation, Leaving: true})
		n.core.scheduleLeavingUpdate(w.now, st.Id)
		h = n.core.startHandoff(w.now, st.Id, copies)
	})
	w.run(time.Microsecond)
	return h
}

// holders counts the running nodes other than n that know that the target leaves.
func (w *simulation) holders(n *node, id string) int {
	count := 0
	for _, other := range w.nodes {
		past, _ := other.core.history.get(id)
		if other != n && other.running && past.left {
			count++
		}
	}
	return count
}

// TestNoticeSurvivesItsRouter guards against the notice that a target leaves being lost with
// the router that acknowledged it: the router ends at the moment at which it may acknowledge,
// and the others must learn of the leave within newWorkBound all the same.
func TestNoticeSurvivesItsRouter(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(0, seed, 5, 3, 3)
		w.lossRate = 0.1
		w.run(5 * time.Second)
		origin, left := w.nodes[int(seed)%5], w.targets[0].status
		w.targets[0].running = false
		h := w.leaveAt(origin, left, 1)
		if h == nil {
			t.Fatal("the router acknowledges the notice without another one")
		}
		for !h.complete() {
			w.run(time.Millisecond)
		}
		if n := w.holders(origin, left.Id); n < 1 {
			t.Errorf("seed %d: %d other routers hold the notice", seed, n)
		}
		origin.running = false
		w.run(newWorkBound)
		if n := w.holders(origin, left.Id); n != 4 {
			t.Errorf("seed %d: %d of 4 routers know of the leave", seed, n)
		}
	}
}

// TestNoticeOfACutOffRouter guards against a router that acknowledges a notice although no
// other one can hold it, at once after the cut and when the others count as dead.
func TestNoticeOfACutOffRouter(t *testing.T) {
	w := newSimulation(0, 1, 3, 2, 3)
	w.run(5 * time.Second)
	origin := w.nodes[0]
	origin.cutOff = true
	for i, wait := range []time.Duration{0, 10 * time.Second} {
		w.run(wait)
		h := w.leaveAt(origin, w.targets[i].status, 1)
		w.run(3 * time.Second)
		if h == nil || h.complete() {
			t.Errorf("after %v a router that is cut off acknowledges a notice", wait)
		}
	}
}

// TestNoticeIsHandedOffOnce checks that a repeated notice costs no further pings, and that the
// only router of a fleet waits for nobody.
func TestNoticeIsHandedOffOnce(t *testing.T) {
	w := newSimulation(0, 1, 3, 2, 3)
	w.run(5 * time.Second)
	h := w.leaveAt(w.nodes[0], w.targets[0].status, 2)
	w.run(time.Second)
	if !h.complete() {
		t.Fatal("the notice was not handed off")
	}
	if h := w.leaveAt(w.nodes[0], w.targets[0].status, 2); h != nil {
		t.Error("the notice is handed off again")
	}
	alone := newSimulation(0, 1, 1, 1, 1)
	alone.nodes[0].core.seeds = nil
	alone.run(time.Second)
	if h := alone.leaveAt(alone.nodes[0], alone.targets[0].status, 1); h != nil {
		t.Error("the only router waits for others")
	}
}

// TestHandOffAtScale hands a notice to two others in a fleet of 300 instances whose processes
// take a while for each message. The acknowledgement must come before the target's time-out,
// and the datagrams must fit in the control budget of one second.
func TestHandOffAtScale(t *testing.T) {
	const (
		routers, targets, copies = 300, 300, 2
		targetTimeout            = time.Second
		bytesPerSecond           = 4096
	)
	w := newLargeSimulation(routers, targets)
	w.shareViews()
	w.messageCost = func(*node) time.Duration { return 5 * time.Millisecond }
	w.run(time.Second)
	origin := w.nodes[7]
	for _, n := range w.nodes {
		n.core.drainPackets()
	}
	sent, received := 0, 0
	nonces := make(map[uint32]bool)
	w.onTransmit = func(from *node, p packet) {
		m := p.msg
		switch size := proto.Size(m) + headerBytes + packetOverheadBytes; {
		case from == origin && m.Kind == pb.GossipKind_GOSSIP_KIND_PING && len(m.Targets) > 0 && m.Targets[0].Status.Id == w.targets[0].status.Id:
			nonces[m.Nonce] = true
			sent += size
		case m.Kind == pb.GossipKind_GOSSIP_KIND_ACK && nonces[m.Nonce]:
			received += size
		}
	}
	began := w.now
	h := w.leaveAt(origin, w.targets[0].status, copies)
	for !h.complete() && w.now.Sub(began) < targetTimeout {
		w.run(time.Millisecond)
	}
	took := w.now.Sub(began)
	t.Logf("acknowledged after %v; %d pings with %d bytes, acknowledgements with %d bytes", took.Round(time.Millisecond), len(nonces), sent, received)
	if !h.complete() {
		t.Errorf("the notice is not handed off after %v", took)
	}
	if sent > bytesPerSecond {
		t.Errorf("%d bytes sent, over the budget of %d for a second", sent, bytesPerSecond)
	}
}
