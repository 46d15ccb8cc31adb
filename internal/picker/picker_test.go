package picker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// network connects the pickers of a test in memory and implements their membership.
type network struct {
	mu      sync.Mutex
	routers []*pb.RouterStatus
	targets []*pb.TargetStatus
	pickers map[string]*Picker
	// dead contains the peer addresses of the routers that handle no messages.
	dead map[string]bool
	// sent counts the messages between routers.
	sent int
}

// member is the network as seen by one router.
type member struct {
	*network
	self *pb.RouterStatus
}

func (m *member) Self() *pb.RouterStatus         { return m.self }
func (m *member) Routers() []*pb.RouterStatus    { return m.routers }
func (m *member) Targets() []*pb.TargetStatus    { return m.targets }
func (m *member) Target(string) *pb.TargetStatus { return nil }
func (m *member) SendPlacing(to string, p *pb.Placing) {
	m.mu.Lock()
	m.sent++
	receiver, dead := m.pickers[to], m.dead[to]
	m.mu.Unlock()
	if !dead {
		go receiver.Handle(m.self.Id, m.self.PeerAddr, p)
	}
}

const testSlots = 4

func newNetwork(routers, targets int) *network {
	n := &network{pickers: make(map[string]*Picker), dead: make(map[string]bool)}
	for i := range targets {
		n.targets = append(n.targets, &pb.TargetStatus{Id: fmt.Sprint("t", i), Service: "portal", Capacity: testSlots, DataCentre: "elsewhere"})
	}
	for i := range routers {
		id := fmt.Sprint("r", i)
		n.routers = append(n.routers, &pb.RouterStatus{Id: id, PeerAddr: id, CallerAddr: id, DataCentre: "here", State: pb.RouterState_ROUTER_STATE_SERVING})
	}
	for _, r := range n.routers {
		view := &member{network: n, self: r}
		n.pickers[r.Id] = New(Config{
			Self: r.Id, Members: view, Balancer: balance.New(view, nil),
			Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope,
		})
	}
	return n
}

func (n *network) pick(router int, r balance.Request) (balance.Choice, error) {
	return n.pickers[n.routers[router].Id].Pick(context.Background(), r)
}

var request = balance.Request{Service: "portal", Goal: 150 * time.Millisecond, TimeLeft: 10 * time.Second}

// TestHomeCountsForAll has many routers send one request each. The owner must distribute
// them evenly among the targets, although no router knows the requests of the others. It
// must reject requests once all targets are full, and reuse the slots that Done releases.
// In the test's name, home is the owner router.
func TestHomeCountsForAll(t *testing.T) {
	const routers, targets = 12, 3
	n := newNetwork(routers, targets)
	got := make(map[string]int)
	var chosen []balance.Choice
	for i := range routers {
		c, err := n.pick(i, request)
		if err != nil {
			t.Fatal(err)
		}
		got[c.Target.Id]++
		chosen = append(chosen, c)
	}
	for id, count := range got {
		if count != routers/targets {
			t.Errorf("%d requests at %s, want %d", count, id, routers/targets)
		}
	}
	full := false
	for i := 0; i < 200 && !full; i++ {
		c, err := n.pick(i%routers, request)
		full = errors.Is(err, balance.ErrFull)
		if err == nil {
			chosen = append(chosen, c)
		}
	}
	if !full {
		t.Fatalf("%d requests were admitted to %d slots", len(chosen), targets*testSlots)
	}
	for _, c := range chosen {
		c.Done(balance.Served)
		c.Done(balance.Served)
	}
	deadline := time.Now().Add(5 * time.Second)
	for _, err := n.pick(0, request); err != nil; _, err = n.pick(0, request) {
		if time.Now().After(deadline) {
			t.Fatal("released slots are not free")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLastTargetHasAHome has all targets but one leave. The remaining target then receives
// the requests of all of them. The owner must not admit more requests than the target can
// answer within the latency objective.
// In the test's name, home is the owner router.
func TestLastTargetHasAHome(t *testing.T) {
	n := newNetwork(4, 3)
	n.targets[0].Leaving, n.targets[1].Leaving = true, true
	const requests = 100
	admitted := 0
	for i := range requests {
		c, err := n.pick(i%len(n.routers), request)
		if errors.Is(err, balance.ErrFull) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if c.Target.Id != n.targets[2].Id {
			t.Fatalf("request %d was sent to %s, which is leaving", i, c.Target.Id)
		}
		admitted++
	}
	// A request may wait for two fifths of the latency objective and is assumed to run
	// for one fifth, so each slot can have two queued requests after the running one.
	if most := 3 * testSlots; admitted > most {
		t.Errorf("%d of %d requests were admitted to the last target, want at most %d", admitted, requests, most)
	}
}

// TestChoiceCountsOthersOnly has the owner select the target that the router's own
// balancer selected before. The in-flight count of the choice must not include the
// request itself.
func TestChoiceCountsOthersOnly(t *testing.T) {
	n := newNetwork(1, 1)
	for i := range testSlots {
		c, err := n.pick(0, request)
		if err != nil {
			t.Fatal(err)
		}
		if c.InFlight != i {
			t.Errorf("request %d: %d in flight before it", i, c.InFlight)
		}
	}
}

// TestSilentHome sends requests while the owner is dead. They must wait for its reply only
// until the back-off starts, and be assigned by the router's own balancer.
// In the test's name, a silent home is an owner router that does not reply.
func TestSilentHome(t *testing.T) {
	n := newNetwork(3, 3)
	owner := balance.OwnerOf(n.routers, "portal")
	n.dead[owner.Id] = true
	requester := 0
	for n.routers[requester].Id == owner.Id {
		requester++
	}
	start := time.Now()
	const requests = 50
	for range requests {
		c, err := n.pick(requester, request)
		if err != nil {
			t.Fatal(err)
		}
		c.Done(balance.Served)
	}
	if took := time.Since(start); took > ownerBackoff/2 {
		t.Errorf("%d requests waited %v for a dead owner", requests, took)
	}
	if n.sent > 2*maxTimeouts {
		t.Errorf("%d messages to a dead owner, want %d slot requests and their releases", n.sent, maxTimeouts)
	}
}

// TestHomesAreBounded checks that the number of tracked owners stays bounded.
// In the test's name, home is the owner router.
func TestHomesAreBounded(t *testing.T) {
	p := newNetwork(1, 1).pickers["r0"]
	for i := range 2 * maxOwners {
		p.recordTimeout(&pb.RouterStatus{Id: fmt.Sprint("gone-", i)})
	}
	if n := len(p.owners); n > maxOwners {
		t.Errorf("%d owners are tracked, want at most %d", n, maxOwners)
	}
}

// TestLateHome has the owner fail to reply to some slot requests, but never to maxTimeouts
// in a row. The router must still request a slot for each request.
// In the test's name, home is the owner router.
func TestLateHome(t *testing.T) {
	n := newNetwork(2, 2)
	owner := balance.OwnerOf(n.routers, "portal")
	requester := 0
	if n.routers[0].Id == owner.Id {
		requester = 1
	}
	const requests = 12
	byOwner := 0
	for i := range requests {
		n.mu.Lock()
		n.dead[owner.Id] = i%maxTimeouts != 0
		n.mu.Unlock()
		c, err := n.pick(requester, request)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(c.Reason, owner.Id) {
			byOwner++
		}
		c.Done(balance.Served)
	}
	if byOwner != requests/maxTimeouts {
		t.Errorf("the owner selected the targets of %d of %d requests, want %d, the number of its replies", byOwner, requests, requests/maxTimeouts)
	}
}

// TestFewRequestsAskNobody checks that a lightly loaded target in the router's data centre
// is selected without a message to the owner.
// In the test's name, ask nobody means that no slot request is sent.
func TestFewRequestsAskNobody(t *testing.T) {
	n := newNetwork(3, 3)
	n.targets[1].DataCentre = "here"
	for i := range 3 {
		c, err := n.pick(i, request)
		if err != nil || c.Target.Id != "t1" {
			t.Errorf("target %v, %v, want the one in the local data centre", c.Target, err)
		}
		c.Done(balance.Served)
	}
	if n.sent > 0 {
		t.Errorf("%d messages to the owner, want none", n.sent)
	}
}

// TestTargetThatOnlyTheHomeKnows has the owner select a target that the requesting router
// does not know. The requesting router must then select a target from its own view.
func TestTargetThatOnlyTheHomeKnows(t *testing.T) {
	n := newNetwork(2, 2)
	owner := balance.OwnerOf(n.routers, "portal")
	requester := n.routers[0]
	if requester.Id == owner.Id {
		requester = n.routers[1]
	}
	other := &network{routers: n.routers, targets: []*pb.TargetStatus{{Id: "x", Service: "portal", Capacity: 4}, {Id: "y", Service: "portal", Capacity: 4}}, pickers: n.pickers, dead: n.dead}
	view := &member{network: other, self: owner}
	n.pickers[owner.Id] = New(Config{Self: owner.Id, Members: view, Balancer: balance.New(view, nil), Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope})
	c, err := n.pickers[requester.Id].Pick(t.Context(), request)
	if err != nil || c.Target.Id != "t0" && c.Target.Id != "t1" {
		t.Errorf("target %v, %v, want t0 or t1", c.Target, err)
	}
}

// failAt sends one request to the target for each outcome and ends the request with it.
func (n *network) failAt(t *testing.T, target string, outcomes ...balance.Outcome) {
	t.Helper()
	only := request
	for _, other := range n.targets {
		if other.Id != target {
			only.Exclude = append(only.Exclude, other.Id)
		}
	}
	for _, o := range outcomes {
		c, err := n.pick(0, only)
		if err != nil {
			t.Fatal(err)
		}
		c.Done(o)
	}
}

// TestFailingTargetsBeforeRefusals sends more requests than the only healthy target of a
// service can answer in time, while the other targets fail. Degraded targets, which serve
// some of their requests, must be used before a request is rejected. Targets that serve
// no requests or are unreachable must not be used.
func TestFailingTargetsBeforeRefusals(t *testing.T) {
	n := newNetwork(1, 4)
	failed := balance.Failed
	n.failAt(t, "t0", failed, failed, failed)
	n.failAt(t, "t1", failed, failed, failed, failed, failed, failed, failed, failed, failed, failed)
	n.failAt(t, "t2", balance.Unreachable)
	// Wait until the slots of the failed requests, which are held longer, have expired.
	time.Sleep(request.Goal)
	got := make(map[string]int)
	healthyFull := false
	for {
		c, err := n.pick(0, request)
		if errors.Is(err, balance.ErrFull) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got[c.Target.Id]++
		if c.Target.Id == "t0" && !healthyFull {
			healthyFull = true
			if got["t3"] < testSlots {
				t.Errorf("a failing target is used with %d requests at the healthy one", got["t3"])
			}
		}
		if got[c.Target.Id] > 100 {
			t.Fatal("no request is rejected")
		}
	}
	if got["t0"] == 0 || got["t1"] > 0 || got["t2"] > 0 {
		t.Errorf("requests by target %v: want some at t0, which is degraded, and none at t1 and t2", got)
	}
}
