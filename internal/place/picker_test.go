package place

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

// network connects the pickers of a test in memory. It is their membership too.
type network struct {
	mu      sync.Mutex
	routers []*pb.RouterStatus
	targets []*pb.TargetStatus
	pickers map[string]*Picker
	// dead routers answer nothing.
	dead map[string]bool
	sent int
}

// member is the network as one router sees it.
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

var request = balance.Request{Service: "portal", Goal: 150 * time.Millisecond, MaxDuration: 10 * time.Second}

// TestHomeCountsForAll has many routers send one request each: together they fill the
// targets evenly, though none knows of the others' requests, and are refused once all
// have enough.
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
		t.Fatalf("%d requests were admitted to %d places", len(chosen), targets*testSlots)
	}
	for _, c := range chosen {
		c.Done(balance.Served)
		c.Done(balance.Served)
	}
	deadline := time.Now().Add(5 * time.Second)
	for _, err := n.pick(0, request); err != nil; _, err = n.pick(0, request) {
		if time.Now().After(deadline) {
			t.Fatal("places that were given back are not free")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLastTargetHasAHome has all targets but one leave: what they served is asked of
// the last one, which must not be given more than it answers in time.
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
			t.Fatalf("request %d went to %s, which leaves", i, c.Target.Id)
		}
		admitted++
	}
	// Two fifths of the goal hold two requests of a fifth of the goal each, behind
	// the one that runs.
	if most := 3 * testSlots; admitted > most {
		t.Errorf("%d of %d requests were admitted to the last target, want at most %d", admitted, requests, most)
	}
}

// TestChoiceCountsOthersOnly has the home name the target that the router had drawn
// itself: the request is not among those that the target had.
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

// TestSilentHome has the home dead: requests wait for it once in a while only, and
// are placed by each router's own view.
func TestSilentHome(t *testing.T) {
	n := newNetwork(3, 3)
	at := balance.OwnerOf(n.routers, "portal")
	n.dead[at.Id] = true
	asker := 0
	for n.routers[asker].Id == at.Id {
		asker++
	}
	start := time.Now()
	const requests = 50
	for range requests {
		c, err := n.pick(asker, request)
		if err != nil {
			t.Fatal(err)
		}
		c.Done(balance.Served)
	}
	if took := time.Since(start); took > ownerBackoff/2 {
		t.Errorf("%d requests waited %v for a home that is dead", requests, took)
	}
	if n.sent > 2*maxTimeouts {
		t.Errorf("%d messages to a home that is dead, want %d questions and the ends of their places", n.sent, maxTimeouts)
	}
}

// TestHomesAreBounded has more homes miss answers than are kept.
func TestHomesAreBounded(t *testing.T) {
	p := newNetwork(1, 1).pickers["r0"]
	for i := range 2 * maxOwners {
		p.recordTimeout(&pb.RouterStatus{Id: fmt.Sprint("gone-", i)})
	}
	if n := len(p.owners); n > maxOwners {
		t.Errorf("%d homes are kept, bound %d", n, maxOwners)
	}
}

// TestLateHome has the home miss some answers, but never maxMissed in a row: it is
// asked for each request.
func TestLateHome(t *testing.T) {
	n := newNetwork(2, 2)
	at := balance.OwnerOf(n.routers, "portal")
	asker := 0
	if n.routers[0].Id == at.Id {
		asker = 1
	}
	const requests = 12
	byHome := 0
	for i := range requests {
		n.mu.Lock()
		n.dead[at.Id] = i%maxTimeouts != 0
		n.mu.Unlock()
		c, err := n.pick(asker, request)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(c.Reason, at.Id) {
			byHome++
		}
		c.Done(balance.Served)
	}
	if byHome != requests/maxTimeouts {
		t.Errorf("%d of %d requests were placed by the home, which answered %d", byHome, requests, requests/maxTimeouts)
	}
}

// TestFewRequestsAskNobody has a target of the own data centre with little to do.
func TestFewRequestsAskNobody(t *testing.T) {
	n := newNetwork(3, 3)
	n.targets[1].DataCentre = "here"
	for i := range 3 {
		c, err := n.pick(i, request)
		if err != nil || c.Target.Id != "t1" {
			t.Errorf("target %v, %v, want the one of the data centre", c.Target, err)
		}
		c.Done(balance.Served)
	}
	if n.sent > 0 {
		t.Errorf("%d messages", n.sent)
	}
}

// TestTargetThatOnlyTheHomeKnows is placed by the asker's own view.
func TestTargetThatOnlyTheHomeKnows(t *testing.T) {
	n := newNetwork(2, 2)
	at := balance.OwnerOf(n.routers, "portal")
	asker := n.routers[0]
	if asker.Id == at.Id {
		asker = n.routers[1]
	}
	other := &network{routers: n.routers, targets: []*pb.TargetStatus{{Id: "x", Service: "portal", Capacity: 4}, {Id: "y", Service: "portal", Capacity: 4}}, pickers: n.pickers, dead: n.dead}
	view := &member{network: other, self: at}
	n.pickers[at.Id] = New(Config{Self: at.Id, Members: view, Balancer: balance.New(view, nil), Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope})
	c, err := n.pickers[asker.Id].Pick(t.Context(), request)
	if err != nil || c.Target.Id != "t0" && c.Target.Id != "t1" {
		t.Errorf("target %v, %v", c.Target, err)
	}
}

// failAt has a target give outcomes to requests that may go nowhere else.
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

// TestFailingTargetsBeforeRefusals has more requests than the one sound target of a
// service serves in time, while others fail: those that serve a part of their requests
// are used before anybody is refused, those that serve none or can't be reached are
// not.
func TestFailingTargetsBeforeRefusals(t *testing.T) {
	n := newNetwork(1, 4)
	broken := balance.Failed
	n.failAt(t, "t0", broken, broken, broken)
	n.failAt(t, "t1", broken, broken, broken, broken, broken, broken, broken, broken, broken, broken)
	n.failAt(t, "t2", balance.Unreachable)
	// The places of failed requests are held for a while.
	time.Sleep(request.Goal)
	got := make(map[string]int)
	soundFull := false
	for {
		c, err := n.pick(0, request)
		if errors.Is(err, balance.ErrFull) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got[c.Target.Id]++
		if c.Target.Id == "t0" && !soundFull {
			soundFull = true
			if got["t3"] < testSlots {
				t.Errorf("a failing target is used with %d requests at the sound one", got["t3"])
			}
		}
		if got[c.Target.Id] > 100 {
			t.Fatal("nobody is refused")
		}
	}
	if got["t0"] == 0 || got["t1"] > 0 || got["t2"] > 0 {
		t.Errorf("requests by target %v: want some at t0, which fails in part, none at t1 and t2", got)
	}
}
