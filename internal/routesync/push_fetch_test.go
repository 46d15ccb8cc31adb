package routesync

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const testToken = "0123456789abcdef0123456789abcdef"

// fakeMembers is a Members whose peers, with their table numbers, are set by the
// test.
type fakeMembers struct {
	self *pb.RouterStatus

	mu    sync.Mutex
	peers []*pb.RouterStatus
}

func (m *fakeMembers) Self() *pb.RouterStatus         { return m.self }
func (m *fakeMembers) Targets() []*pb.TargetStatus    { return nil }
func (m *fakeMembers) Target(string) *pb.TargetStatus { return nil }
func (m *fakeMembers) SetRoutingTable(uint64)         {}
func (m *fakeMembers) SetEvacuations(uint64)          {}
func (m *fakeMembers) setPeers(peers ...*pb.RouterStatus) {
	m.mu.Lock()
	m.peers = peers
	m.mu.Unlock()
}
func (m *fakeMembers) Routers() []*pb.RouterStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*pb.RouterStatus{m.self}, m.peers...)
}

// instance is one Sync that makes real calls.
type instance struct {
	*Sync
	members *fakeMembers
	dialer  *testkit.CountingDialer
}

func startInstance(t *testing.T, id string, replica bool) *instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	in := &instance{
		members: &fakeMembers{self: &pb.RouterStatus{Id: id, PeerAddr: listener.Addr().String(), Replica: replica}},
		dialer:  &testkit.CountingDialer{},
	}
	pool := transport.NewPool(testToken, in.dialer, nil)
	server := transport.NewServer(testToken, logger)
	in.Sync = New(Config{
		Holder: &routing.Holder{}, Members: in.members, Pool: pool, Server: server, Logger: logger, Scope: tally.NoopScope,
	})
	go server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { in.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		server.Close()
		pool.Close()
	})
	return in
}

// commit calls Committed as the replicated log does, with the delta to the table base
// if base is not zero, and waits until the table is applied.
func (in *instance) commit(t *testing.T, number, base int) {
	t.Helper()
	command := &pb.RoutingTable{Number: uint64(number)}
	if base > 0 {
		delta, err := document.Pack(document.Diff(testkit.LargeTable(base), testkit.LargeTable(number)))
		if err != nil {
			t.Fatal(err)
		}
		command.Base, command.Delta = uint64(base), delta
	}
	in.Committed(uint64(number), testkit.LargeTable(number), command)
	in.holds(t, number)
}

func (in *instance) holds(t *testing.T, number int) {
	t.Helper()
	testkit.Eventually(t, fmt.Sprintf("%s holds table %d", in.members.self.Id, number), func() bool {
		held, text := in.Current()
		return held == uint64(number) && string(text) == string(testkit.LargeTable(number))
	})
}

// TestPushSendsDeltas commits tables at a replica that knows only an outdated table
// number of its router. The replica must push a change as a delta, and the full
// table after a change that the router missed.
func TestPushSendsDeltas(t *testing.T) {
	replica, router := startInstance(t, "replica", true), startInstance(t, "router", false)
	replica.members.setPeers(&pb.RouterStatus{Id: "router", PeerAddr: router.members.self.PeerAddr, RoutingTable: 1})
	replica.commit(t, 2, 0)
	router.holds(t, 2)
	full := replica.dialer.Bytes()
	replica.commit(t, 3, 2)
	router.holds(t, 3)
	if delta := replica.dialer.Bytes() - full; delta > full/4 {
		t.Errorf("a change of one route took %d bytes, the full table %d", delta, full)
	}
	replica.members.setPeers()
	replica.commit(t, 4, 3)
	// A replica sends no full table before the previous transfer is complete.
	time.Sleep(time.Duration(full) * time.Second / replicaBytesPerSecond)
	replica.members.setPeers(&pb.RouterStatus{Id: "router", PeerAddr: router.members.self.PeerAddr, RoutingTable: 1})
	replica.commit(t, 5, 4)
	router.holds(t, 5)
}

// TestMissedPushIsFetched checks that a router which receives no push fetches the
// table once it learns that another instance has a higher number.
func TestMissedPushIsFetched(t *testing.T) {
	replica, router := startInstance(t, "replica", true), startInstance(t, "router", false)
	replica.commit(t, 7, 0)
	router.members.setPeers(&pb.RouterStatus{Id: "replica", PeerAddr: replica.members.self.PeerAddr, Replica: true, RoutingTable: 7})
	router.holds(t, 7)
}

// TestCommittedTakesNewerTablesOnly delivers tables repeatedly and out of order, as
// the log may. Only tables 3 and 5 may be applied, each once.
func TestCommittedTakesNewerTablesOnly(t *testing.T) {
	s := &Sync{wake: make(chan struct{}, 1)}
	var applied []uint64
	for _, number := range []uint64{3, 2, 3, 5, 5, 4} {
		s.Committed(number, nil, &pb.RoutingTable{Number: number})
		select {
		case <-s.wake:
			applied = append(applied, s.pending.number)
		default:
		}
	}
	if len(applied) != 2 || applied[0] != 3 || applied[1] != 5 {
		t.Errorf("tables %v are applied, want 3 and 5", applied)
	}
}
