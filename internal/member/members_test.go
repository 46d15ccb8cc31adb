package member

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

func quietLogger() *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
}

func startMember(t *testing.T, id string, seeds ...string) *Members {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m, err := Start(Config{
		Self: &pb.RouterStatus{
			Id:          id,
			Incarnation: 1,
			PeerAddr:    conn.LocalAddr().String(),
			State:       pb.RouterState_ROUTER_STATE_SERVING,
		},
		Seeds:  seeds,
		Conn:   conn,
		Token:  "secret",
		Logger: quietLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// TestRoutersOverUDP starts three routers over UDP on loopback: they find each other
// and disseminate a target, and a state change, a leaving target and a leaving router
// become known to all.
func TestRoutersOverUDP(t *testing.T) {
	a := startMember(t, "a")
	seed := a.Self().PeerAddr
	all := []*Members{a, startMember(t, "b", seed), startMember(t, "c", seed)}
	everywhere := func(cond func(m *Members) bool) func() bool {
		return func() bool {
			for _, m := range all {
				if !cond(m) {
					return false
				}
			}
			return true
		}
	}
	testkit.Eventually(t, "three routers everywhere", everywhere(func(m *Members) bool { return len(m.Routers()) == 3 }))

	st := &pb.TargetStatus{Id: "engine-1", Kind: pb.TargetKind_TARGET_KIND_ENGINE, Addr: "127.0.0.1:1", Incarnation: 5, Capacity: 4, Load: &pb.Load{Running: 3}}
	announce := func() {
		st.Sequence++
		if err := a.Announce(shallowCopy(st), time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	testkit.Eventually(t, "the target and its load everywhere", everywhere(func(m *Members) bool {
		announce()
		return m.Target("engine-1").GetLoad().GetRunning() == 3
	}))
	all[2].SetState(pb.RouterState_ROUTER_STATE_DRAINING)
	all[2].TargetLeaves("engine-1", 5)
	testkit.Eventually(t, "the leave everywhere", everywhere(func(m *Members) bool {
		target := m.Target("engine-1")
		return target == nil || target.Leaving
	}))
	testkit.Eventually(t, "the draining state", everywhere(func(m *Members) bool {
		return m.Routers()[2].State == pb.RouterState_ROUTER_STATE_DRAINING
	}))
	if err := a.Announce(shallowCopy(st), time.Now()); err == nil {
		t.Fatal("an incarnation that left was accepted again")
	}
	if err := all[2].Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	all = all[:2]
	testkit.Eventually(t, "two routers left", everywhere(func(m *Members) bool { return len(m.Routers()) == 2 }))
}

func TestOtherTokenIsNotHeard(t *testing.T) {
	ours := newCodec("secret")
	datagram, err := newCodec("guess").encode(&pb.Gossip{From: "x"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ours.decode(datagram); err != errDatagramMAC {
		t.Fatalf("got %v", err)
	}
}

// TestViewsChangeApart guards against a costly start of a large fleet, in which many
// targets announce themselves to a replica for the first time, and the reply to each
// announcement reads the routers. The view of the routers must not be rebuilt when a
// target changes, nor the view of the targets when a router does.
func TestViewsChangeApart(t *testing.T) {
	m := startMember(t, "a")
	routers := m.routerView()
	for i := range 100 {
		st := &pb.TargetStatus{Id: fmt.Sprint("target-", i), Addr: "127.0.0.1:1", Incarnation: 1, Sequence: 1}
		if err := m.Announce(st, time.Now()); err != nil {
			t.Fatal(err)
		}
		if m.routerView() != routers {
			t.Fatalf("target %d caused the view of the routers to be rebuilt", i)
		}
	}
	targets := m.targetView()
	if len(targets.targets) != 100 {
		t.Errorf("%d targets are listed, want 100", len(targets.targets))
	}
	m.SetState(pb.RouterState_ROUTER_STATE_DRAINING)
	if m.Self().State != pb.RouterState_ROUTER_STATE_DRAINING {
		t.Error("the changed state is not visible")
	}
	if m.targetView() != targets {
		t.Error("a router's state caused the view of the targets to be rebuilt")
	}
}

// TestOversizedMessageKeepsTheMembership guards against a request that ends the membership of
// its router: a slot request names the targets that failed the request, and with many long
// ids it exceeds a datagram.
func TestOversizedMessageKeepsTheMembership(t *testing.T) {
	m := startMember(t, "r1")
	ask := &pb.PlaceAsk{Service: "s"}
	for range 20 {
		ask.Exclude = append(ask.Exclude, strings.Repeat("x", 128))
	}
	func() {
		// The HTTP server recovers a panic in the handler of a request.
		defer func() {
			if p := recover(); p != nil {
				t.Errorf("the request ended with a panic: %v", p)
			}
		}()
		m.SendPlacing("127.0.0.1:9", &pb.Placing{Place: 1, What: &pb.Placing_Ask{Ask: ask}})
	}()
	done := make(chan int)
	go func() { done <- len(m.Routers()) }()
	select {
	case n := <-done:
		if n != 1 {
			t.Errorf("%d routers, want this one", n)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the membership is locked")
	}
}
