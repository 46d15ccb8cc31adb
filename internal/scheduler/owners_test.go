package scheduler

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// node is one router that communicates by real network calls.
type node struct {
	*Scheduler
	fleet  *fakeFleet
	server *transport.Server
	status *pb.RouterStatus
	dialer *testkit.CountingDialer
}

const peerToken = "0123456789abcdef0123456789abcdef"

// startNodes starts n routers that have each other and the targets in view.
func startNodes(t testing.TB, n int, targets ...*pb.TargetStatus) []*node {
	return startNodesReconciling(t, 200*time.Millisecond, n, targets...)
}

// startNodesReconciling is startNodes with a given reconciliation interval.
func startNodesReconciling(t testing.TB, interval time.Duration, n int, targets ...*pb.TargetStatus) []*node {
	var nodes []*node
	for i := range n {
		id := fmt.Sprint("r", i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f := newFakeFleet(id, targets...)
		wire := &testkit.CountingDialer{}
		calls := transport.NewPool(peerToken, wire, nil)
		server := transport.NewServer(peerToken, discardLogger())
		s := New(Config{
			Self: id, View: f, ConfigView: f, Peers: calls, Server: server, Logger: discardLogger(),
			ReconcileInterval: interval,
		})
		go func() { _ = server.Serve(listener) }()
		nodes = append(nodes, &node{
			Scheduler: s, fleet: f, server: server, dialer: wire,
			status: &pb.RouterStatus{
				Id: id, Incarnation: 1, PeerAddr: listener.Addr().String(),
				State: pb.RouterState_ROUTER_STATE_SERVING,
			},
		})
		running := make(chan struct{})
		t.Cleanup(func() {
			s.Close()
			<-running
			server.Close()
			calls.Close()
		})
		defer func() {
			go func() {
				defer close(running)
				s.Run(t.Context())
			}()
		}()
	}
	for _, nd := range nodes {
		nd.setView(nodes...)
	}
	return nodes
}

func (nd *node) setView(nodes ...*node) {
	var routers []*pb.RouterStatus
	for _, other := range nodes {
		routers = append(routers, other.status)
	}
	nd.fleet.setRouters(routers...)
}

func without(nodes []*node, gone *node) []*node {
	var rest []*node
	for _, nd := range nodes {
		if nd != gone {
			rest = append(rest, nd)
		}
	}
	return rest
}

func ownerOf(nodes []*node) *node {
	for _, nd := range nodes {
		if g, ok := nd.groups["engines/0"]; ok {
			if adm, _ := g.current(); adm != nil {
				return nd
			}
		}
	}
	return nil
}

// admitAll admits n requests of different chats concurrently, spread over all
// routers.
func admitAll(t testing.TB, nodes []*node, n int) []*filter.Grant {
	t.Helper()
	var mu sync.Mutex
	var grants []*filter.Grant
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			g, err := nodes[i%len(nodes)].Admit(t.Context(), demand("c", fmt.Sprint("chat-", i)), nil)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			grants = append(grants, g)
		})
	}
	wg.Wait()
	return grants
}

func countByTarget(grants []*filter.Grant) map[string]int {
	counts := make(map[string]int)
	for _, g := range grants {
		counts[g.Target.Id]++
	}
	return counts
}

func releaseAll(grants []*filter.Grant) {
	for _, g := range grants {
		g.Release(filter.Usage{})
	}
}

// The routers together stay within the load bound of each engine, although each
// router receives only a part of the requests.
func TestRoutersShareEngines(t *testing.T) {
	nodes := startNodes(t, 3, engines(4, 100)...)
	grants := admitAll(t, nodes, 60)
	for id, n := range countByTarget(grants) {
		if n > 19 {
			t.Errorf("%s has %d of 60 requests on 4 engines, over 1.25 times the mean plus one", id, n)
		}
	}
	releaseAll(grants)
	waitEmpty(t, ownerOf(nodes))
}

func waitEmpty(t testing.TB, owner *node) {
	t.Helper()
	adm, _ := owner.groups["engines/0"].current()
	for range 100 {
		if adm.stats().Grants == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%d slots are still counted", adm.stats().Grants)
}

// A new owner counts the slots that the previous owner granted, so that no engine
// exceeds its capacity while earlier requests still run.
func TestNewHomeCountsOldPlaces(t *testing.T) {
	nodes := startNodes(t, 4, engines(2, 5)...)
	entries := nodes
	first := admitAll(t, nodes[:1], 1)
	old := ownerOf(nodes)
	entries = without(nodes, old)
	first = append(first, admitAll(t, entries, 7)...)
	old.server.Close()
	for _, nd := range entries {
		nd.setView(entries...)
	}
	second := admitAll(t, entries, 1)
	if owner := ownerOf(entries); owner == nil {
		t.Fatal("no router has become the owner")
	}
	held := countHeld(entries)
	counts := countByTarget(append(first, second...))
	owner := ownerOf(entries)
	adm, _ := owner.groups["engines/0"].current()
	if got := adm.stats().Grants; got != held {
		t.Fatalf("the new owner counts %d slots, the routers hold %d (%v)", got, held, counts)
	}
	releaseAll(append(first, second...))
	waitEmpty(t, owner)
}

func countHeld(nodes []*node) int {
	n := 0
	for _, nd := range nodes {
		_, held := nd.held.list("engines/0")
		n += len(held)
	}
	return n
}

// An owner that has crashed but is still in every router's view is replaced as
// soon as requests can't reach it.
func TestCrashedHomeInViewIsReplaced(t *testing.T) {
	nodes := startNodes(t, 3, engines(2, 50)...)
	releaseAll(admitAll(t, nodes, 3))
	old := ownerOf(nodes)
	old.server.Close()
	entries := without(nodes, old)
	grants := admitAll(t, entries, 20)
	owner := ownerOf(entries)
	if owner == nil {
		t.Fatal("no router has become the owner")
	}
	releaseAll(grants)
	waitEmpty(t, owner)
}

// Routers with different membership views still admit through one owner.
func TestRoutersThatDisagreeUseOneHome(t *testing.T) {
	nodes := startNodes(t, 4, engines(3, 100)...)
	for i, nd := range nodes {
		// Each view lacks a different router.
		nd.setView(without(nodes, nodes[(i+1)%len(nodes)])...)
	}
	for range 5 {
		grants := admitAll(t, nodes, 30)
		for id, n := range countByTarget(grants) {
			if n > 13 {
				t.Errorf("%s has %d of 30 requests on 3 engines, over 1.25 times the mean plus one", id, n)
			}
		}
		open := 0
		for _, nd := range nodes {
			if adm, _ := nd.group("engines/0").current(); adm != nil {
				open++
			}
		}
		if open != 1 {
			t.Fatalf("%d routers admit requests for one group", open)
		}
		releaseAll(grants)
	}
}

// Reconciliation releases slots whose release never reached the owner.
func TestConfirmationRepairsLostRelease(t *testing.T) {
	nodes := startNodes(t, 2, engines(2, 50)...)
	releaseAll(admitAll(t, nodes, 2))
	owner := ownerOf(nodes)
	entry := without(nodes, owner)[0]
	grants := admitAll(t, []*node{entry}, 6)
	// Remove five slots without a release, as if the calls were lost.
	for _, slot := range func() []*pb.HeldPlace { _, h := entry.held.list("engines/0"); return h }()[:5] {
		entry.held.remove("engines/0", slot.Number)
	}
	adm, _ := owner.groups["engines/0"].current()
	for range 100 {
		if adm.stats().Grants == 1 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := adm.stats().Grants; got != 1 {
		t.Fatalf("the owner counts %d slots, the router holds 1", got)
	}
	releaseAll(grants)
	waitEmpty(t, owner)
}

// BenchmarkAdmission measures one request that another router admits, its release
// included, and reports the bytes on the wire.
func BenchmarkAdmission(b *testing.B) {
	nodes := startNodes(b, 2, engines(4, 50)...)
	releaseAll(admitAll(b, nodes, 2))
	entry := without(nodes, ownerOf(nodes))[0]
	before := entry.dialer.Bytes()
	b.ResetTimer()
	for i := range b.N {
		mustAdmit(b, entry.Scheduler, demand("customer-3", fmt.Sprint("chat-", i))).Release(filter.Usage{})
	}
	b.ReportMetric(float64(entry.dialer.Bytes()-before)/float64(b.N), "wire-bytes/op")
}

// Cache events received by any router reach the owner: a chat is assigned to the
// engine that reported its prefix.
func TestCacheEventsReachTheHome(t *testing.T) {
	nodes := startNodes(t, 3, engines(8, 50)...)
	releaseAll(admitAll(t, nodes, 3))
	owner := ownerOf(nodes)
	entry := without(nodes, owner)[0]
	for i := range 8 {
		target := fmt.Sprint("engine-", i)
		chat := fmt.Sprint("imported-", i)
		events := []placement.CacheEvent{{Kind: placement.EventStored, Chat: placement.ChatKey(chat)}}
		if entry.HandleCacheEvents(target, 1, 1, events) {
			t.Fatalf("resync of %s requested without a gap", target)
		}
		if i == 0 && !entry.HandleCacheEvents(target, 1, 9, events) {
			t.Fatal("no resync requested after a gap")
		}
		g := mustAdmit(t, entry.Scheduler, demand("c", chat))
		if g.Target.Id != target {
			t.Errorf("%s was assigned to %s, its prefix is at %s", chat, g.Target.Id, target)
		}
		g.Release(filter.Usage{})
	}
	entry.cfg.AllowCacheEvents = func(int) bool { return false }
	if entry.HandleCacheEvents("engine-1", 1, 9, nil) {
		t.Fatal("events were forwarded without budget")
	}
}

// Requests to a service are assigned to its least loaded target by one owner.
func TestServiceIsLeastLoaded(t *testing.T) {
	var targets []*pb.TargetStatus
	for i := range 3 {
		targets = append(targets, &pb.TargetStatus{
			Id: fmt.Sprint("portal-", i), Kind: pb.TargetKind_TARGET_KIND_SERVICE,
			Incarnation: 1, Service: "portal", Capacity: 10,
		})
	}
	nodes := startNodes(t, 3, targets...)
	var grants []*filter.Grant
	for i := range 9 {
		d := filter.Demand{Contract: &pb.Contract{Customer: "c"}, Service: "portal", RequestID: fmt.Sprint(i)}
		grants = append(grants, mustAdmit(t, nodes[i%3].Scheduler, d))
	}
	for id, n := range countByTarget(grants) {
		if n != 3 {
			t.Errorf("%s has %d of 9 requests on 3 targets", id, n)
		}
	}
	releaseAll(grants)
}

// The reconciliations of a router use at most a tenth of its control budget of
// 4 KB/s.
func TestConfirmationBytes(t *testing.T) {
	const budget = 4096
	nodes := startNodes(t, 2, engines(4, 50)...)
	releaseAll(admitAll(t, nodes, 2))
	entry := without(nodes, ownerOf(nodes))[0]
	grants := admitAll(t, []*node{entry}, 20)
	const reconciliations = 10
	before := entry.dialer.Bytes()
	for range reconciliations {
		entry.sendReleases(entry.group("engines/0"), nil, true)
	}
	each := float64(entry.dialer.Bytes()-before) / reconciliations
	t.Logf("%.0f bytes to reconcile %d slots", each, len(grants))
	if rate := each / defaultReconcileInterval.Seconds(); rate > budget/10 {
		t.Fatalf("%.0f bytes per second for %d slots", rate, len(grants))
	}
	releaseAll(grants)
}

// During a network partition each side has its own owner. Once the partition
// heals, the owner with the lower claim yields and the other counts all slots.
func TestTwoHomesBecomeOne(t *testing.T) {
	nodes := startNodes(t, 4, engines(4, 100)...)
	left, right := nodes[:2], nodes[2:]
	for _, side := range [][]*node{left, right} {
		for _, nd := range side {
			nd.setView(side...)
		}
	}
	grants := append(admitAll(t, left, 9), admitAll(t, right, 7)...)
	for _, nd := range nodes {
		nd.setView(nodes...)
	}
	for range 200 {
		if open := activeAdmitters(nodes); len(open) == 1 && open[0].stats().Grants == len(grants) {
			releaseAll(grants)
			waitEmpty(t, ownerOf(nodes))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, adm := range activeAdmitters(nodes) {
		t.Errorf("an owner counts %d slots of %d", adm.stats().Grants, len(grants))
	}
}

func activeAdmitters(nodes []*node) []*admitter {
	var open []*admitter
	for _, nd := range nodes {
		if adm, _ := nd.group("engines/0").current(); adm != nil {
			open = append(open, adm)
		}
	}
	return open
}

// TestReleaseDuringAClaim guards against a slot that stays counted: a request ends
// at another router while this router claims the group. The slot is listed in the
// reply to the claim, and its release arrives before this router starts admitting.
func TestReleaseDuringAClaim(t *testing.T) {
	s := start(t, newFakeFleet("r1", engine("e1", 4), engine("e2", 4)))
	g := s.group("engines/0")
	claim := &pb.HomeClaim{Group: g.name, Epoch: 9, Router: "r1"}
	if !g.applyClaim(claim) {
		t.Fatal("the claim was not applied")
	}
	adm := newAdmitter(s.cfg.poolConfig())
	targets, reports := s.targetsOf(g.name)
	adm.update(targets, reports, func(pool.ID) bool { return true })
	listed := &pb.HeldPlaces{Router: "r2", Incarnation: 5, UpTo: 1, Places: []*pb.HeldPlace{{Number: 1, Target: "e1", Model: "m"}}}
	release := &pb.ReleaseRequest{Router: "r2", Incarnation: 5, Group: g.name, Numbers: []uint64{1}}
	if _, err := s.handleRelease(t.Context(), release); err != nil {
		t.Fatal(err)
	}
	s.reconcileHeld(adm, listed)
	if !g.startAdmitting(claim, adm, nil) {
		t.Fatal("the router does not start admitting")
	}
	if got := adm.stats().Grants; got != 0 {
		t.Errorf("%d slots are counted after the only one was released", got)
	}
}

// TestDrainingHomeGetsItsReleases guards against lost releases while only one
// router knows that the owner drains. Requests of that router still reach the
// owner through the other routers, so the releases must reach the owner too.
func TestDrainingHomeGetsItsReleases(t *testing.T) {
	nodes := startNodesReconciling(t, time.Hour, 3, engine("e1", 2), engine("e2", 2))
	releaseAll(admitAll(t, nodes, 3))
	owner := ownerOf(nodes)
	waitEmpty(t, owner)
	var seen []*pb.RouterStatus
	for _, nd := range nodes {
		st := proto.CloneOf(nd.status)
		if nd == owner {
			st.State = pb.RouterState_ROUTER_STATE_DRAINING
		}
		seen = append(seen, st)
	}
	// The requesting router is the one in whose view the other router is the next
	// owner by rendezvous hashing.
	var requester *node
	for _, nd := range nodes {
		if nd == owner {
			continue
		}
		nd.fleet.setRouters(seen...)
		if nd.ownerCandidates("engines/0")[0].id != nd.cfg.Self {
			requester = nd
			continue
		}
		nd.setView(nodes...)
	}
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		grant, err := requester.Admit(ctx, demand("c", fmt.Sprint("chat-", i)), nil)
		cancel()
		if err != nil {
			t.Fatalf("request %d: %v; all slots before it were released", i, err)
		}
		grant.Release(filter.Usage{})
	}
}

// A request that ends between making and applying the list of held slots at the
// local owner leaves no slot counted.
func TestEndedPlaceIsNotCountedAgain(t *testing.T) {
	nodes := startNodesReconciling(t, time.Hour, 1, engines(2, 50)...)
	owner := nodes[0]
	grant := mustAdmit(t, owner.Scheduler, demand("c", "chat"))
	adm, _ := owner.group("engines/0").current()
	listed := owner.listHeldSlots("engines/0")
	grant.Release(filter.Usage{})
	owner.reconcileLocal(adm, "engines/0", listed)
	if got := adm.stats().Grants; got != 0 {
		t.Fatalf("%d slots are counted after the only one was released", got)
	}
}

// Reconciliation releases the last slot of a router even if its release was lost.
func TestConfirmationRepairsTheLastRelease(t *testing.T) {
	nodes := startNodes(t, 2, engines(2, 50)...)
	releaseAll(admitAll(t, nodes, 2))
	owner := ownerOf(nodes)
	entry := without(nodes, owner)[0]
	admitAll(t, []*node{entry}, 1)
	_, held := entry.held.list("engines/0")
	entry.held.remove("engines/0", held[0].Number)
	waitEmpty(t, owner)
}

// A group in which nothing is held any more is reconciled emptyReconciliations
// times, then no longer.
func TestPlacesAreConfirmedUntilTheHomeKnowsOfNone(t *testing.T) {
	p := newHeldSlots()
	number := p.register("g")
	p.remove("g", number)
	for range emptyReconciliations {
		if got := p.groupsToReconcile(); len(got) != 1 {
			t.Fatalf("groups to reconcile: %v", got)
		}
		upTo, held := p.list("g")
		p.reconciled("g", upTo, len(held))
	}
	if got := p.groupsToReconcile(); len(got) != 0 {
		t.Fatalf("groups to reconcile at the end: %v", got)
	}
	p.register("g")
	upTo, held := p.list("g")
	p.reconciled("g", upTo, len(held))
	if got := p.groupsToReconcile(); len(got) != 1 {
		t.Fatalf("groups to reconcile with a slot: %v", got)
	}
}
