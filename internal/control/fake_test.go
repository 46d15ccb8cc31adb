package control

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

func quietLogger() *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
}

const (
	fakePeriod = 500 * time.Millisecond
	fakeCommit = 2 * time.Millisecond
	// memNetDelay is what a message takes without faults.
	memNetDelay = time.Millisecond
)

// fakeCluster is a log in memory with a leader that the test sets. Quorum and
// elections are the test's decisions: it knows nothing of agreement.
type fakeCluster struct {
	mu      sync.Mutex
	term    uint64
	leader  string
	entries []replica.Entry
	nodes   map[string]*fakeLog
}

// fakeLog is one replica's view of the cluster.
type fakeLog struct {
	cluster *fakeCluster
	id      string
	machine *state.Machine
	applied int
	// term in which this replica believes to lead; zero if it doesn't.
	term uint64
	// cut replicas reach no quorum; their period ends at periodEnd.
	cut       bool
	periodEnd time.Time
	// loseAnswer makes the next proposal commit without an answer.
	loseAnswer bool
	// afterRead runs at the end of each confirmed read-index round.
	afterRead func()
}

func newFakeCluster(ids ...string) *fakeCluster {
	c := &fakeCluster{nodes: map[string]*fakeLog{}}
	for _, id := range ids {
		c.nodes[id] = &fakeLog{cluster: c, id: id, machine: state.New()}
	}
	return c
}

// elect makes id the leader of a new term. The old one learns it unless cut.
func (c *fakeCluster) elect(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if !n.cut {
			n.term = 0
		}
	}
	c.term++
	c.leader = id
	c.nodes[id].term = c.term
	c.nodes[id].cut = false
}

func (c *fakeCluster) setCut(id string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[id]
	n.cut = cut
	n.periodEnd = time.Now().Add(fakePeriod)
	if !cut && c.leader != id {
		n.term = 0
	}
}

// leads is asked under the cluster's lock.
func (n *fakeLog) leads() bool {
	return !n.cut && n.cluster.leader == n.id
}

func (n *fakeLog) Propose(ctx context.Context, data []byte) ([]byte, replica.Position, error) {
	time.Sleep(fakeCommit)
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if !n.leads() {
		if n.term != 0 {
			return nil, replica.Position{}, replica.ErrOutcomeUnknown
		}
		return nil, replica.Position{}, replica.ErrNotLeader
	}
	at := replica.Position{Term: c.term, Index: uint64(len(c.entries) + 1)}
	c.entries = append(c.entries, replica.Entry{Position: at, TimeMs: time.Now().UnixMilli(), Data: data})
	result := n.catchUp()
	if n.loseAnswer {
		n.loseAnswer = false
		return nil, replica.Position{}, replica.ErrOutcomeUnknown
	}
	return result, at, nil
}

// catchUp applies all entries and returns the last result.
func (n *fakeLog) catchUp() (last []byte) {
	for ; n.applied < len(n.cluster.entries); n.applied++ {
		last = n.machine.Apply(n.cluster.entries[n.applied])
	}
	return last
}

func (n *fakeLog) ReadIndex(ctx context.Context) (replica.Position, error) {
	time.Sleep(fakeCommit)
	n.cluster.mu.Lock()
	leads := n.leads()
	if leads {
		n.catchUp()
	}
	at := replica.Position{Term: n.cluster.term, Index: uint64(n.applied)}
	n.cluster.mu.Unlock()
	if leads {
		if n.afterRead != nil {
			n.afterRead()
		}
		return at, nil
	}
	<-ctx.Done()
	return replica.Position{}, ctx.Err()
}

func (n *fakeLog) ActUntil() (time.Time, uint64, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.leads() {
		return time.Now().Add(fakePeriod), n.term, true
	}
	return n.periodEnd, n.term, n.term != 0 && time.Now().Before(n.periodEnd)
}

func (n *fakeLog) Leader() (id, addr string) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.term != 0 {
		return n.id, n.id
	}
	return n.cluster.leader, n.cluster.leader
}

func (n *fakeLog) Replicas() []*pb.ReplicaInfo {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []*pb.ReplicaInfo
	for id := range n.cluster.nodes {
		out = append(out, &pb.ReplicaInfo{Id: id, Leader: id == n.cluster.leader})
	}
	return out
}

func (n *fakeLog) AddReplica(context.Context, string, string, string) error { return nil }
func (n *fakeLog) RemoveReplica(context.Context, string) error              { return nil }

// memNet carries calls between handlers in memory; the test cuts directions.
type memNet struct {
	mu       sync.Mutex
	handlers map[string]handlers
	cut      map[[2]string]bool
	delay    map[[2]string]time.Duration
	// thaw is until when an address neither takes nor sends anything.
	thaw    map[string]time.Time
	down    map[string]bool
	doubled bool
	// strike runs once, at the first call that reaches the step at replica a.
	strikeAt step
	strike   func()
}

// step is a moment in the handling of a call.
type step struct {
	method string
	moment moment
}

type moment int

const (
	beforeHandler moment = iota + 1
	afterHandler
)

func newMemNet() *memNet {
	return &memNet{
		handlers: map[string]handlers{},
		cut:      map[[2]string]bool{},
		delay:    map[[2]string]time.Duration{},
		thaw:     map[string]time.Time{},
		down:     map[string]bool{},
	}
}

// setCut stops messages from one address to another; the way back stays.
func (n *memNet) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// setDelay slows one direction.
func (n *memNet) setDelay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[[2]string{from, to}] = d
}

// at arms a fault for the next call that reaches a step at replica a.
func (n *memNet) at(s step, strike func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.strikeAt, n.strike = s, strike
}

func (n *memNet) reach(addr, method string, req proto.Message, m moment) {
	if submit, ok := req.(*pb.SubmitRequest); ok && submit.Command.GetClaim() != nil {
		method = "claim"
	}
	n.mu.Lock()
	strike := n.strike
	if addr != "a" || n.strikeAt != (step{method, m}) {
		strike = nil
	}
	if strike != nil {
		n.strike = nil
	}
	n.mu.Unlock()
	if strike != nil {
		strike()
	}
}

func (n *memNet) freeze(addr string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thaw[addr] = until
}

func (n *memNet) setDown(addr string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[addr] = down
}

func (n *memNet) setDoubled(doubled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.doubled = doubled
}

func (n *memNet) isDoubled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doubled
}

// awake waits for a frozen address; it returns false if ctx ends before, or
// at once if the address is down.
func (n *memNet) awake(ctx context.Context, addr string) bool {
	n.mu.Lock()
	left, down := time.Until(n.thaw[addr]), n.down[addr]
	n.mu.Unlock()
	if !down && (left <= 0 || sleep(ctx, left)) {
		return true
	}
	<-ctx.Done()
	return false
}

// carry returns false if ctx ends before the message arrives.
func (n *memNet) carry(ctx context.Context, from, to string) bool {
	n.mu.Lock()
	d := memNetDelay + n.delay[[2]string{from, to}]
	cut := n.cut[[2]string{from, to}]
	n.mu.Unlock()
	if !cut && sleep(ctx, d) {
		return true
	}
	<-ctx.Done()
	return false
}

// link is one process's way into the net.
type link struct {
	net  *memNet
	from string
}

func (l link) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	if !l.net.carry(ctx, l.from, addr) {
		return ctx.Err()
	}
	l.net.mu.Lock()
	h := l.net.handlers[addr]
	l.net.mu.Unlock()
	if h == nil {
		return fmt.Errorf("dial %s: %w", addr, transport.ErrNotSent)
	}
	l.net.reach(addr, method, req, beforeHandler)
	if !l.net.awake(ctx, addr) {
		return ctx.Err()
	}
	out, err := handle(ctx, h, proto.Clone(req))
	if l.net.isDoubled() {
		// The copy comes later; its answer has no reader.
		_, _ = handle(ctx, h, proto.Clone(req))
	}
	l.net.reach(addr, method, req, afterHandler)
	if !l.net.awake(ctx, addr) {
		return ctx.Err()
	}
	if !l.net.carry(ctx, addr, l.from) {
		return ctx.Err()
	}
	if err != nil {
		return transport.Fail(transport.Status(err), err.Error())
	}
	proto.Merge(resp, out)
	return nil
}

func handle(ctx context.Context, h handlers, req proto.Message) (proto.Message, error) {
	switch r := req.(type) {
	case *pb.SubmitRequest:
		return h.submit(ctx, r)
	case *pb.LeaseRequest:
		return h.lease(ctx, r)
	case *pb.InForceRequest:
		return h.inForce(ctx, r)
	case *pb.QueryRequest:
		return h.query(ctx, r)
	case *pb.ReplicaChangeRequest:
		return h.replicaChange(ctx, r)
	}
	return nil, fmt.Errorf("no handler for %T", req)
}

// fleetInMemory is three replicas, one relay and the net between them.
type fleetInMemory struct {
	*fakeCluster
	net      *memNet
	services map[string]*Service
}

func newFleet(t *testing.T) *fleetInMemory {
	f := &fleetInMemory{
		fakeCluster: newFakeCluster("a", "b", "c"),
		net:         newMemNet(),
		services:    map[string]*Service{},
	}
	for id, node := range f.nodes {
		s := newService(Config{Log: node, State: node.machine, Logger: quietLogger(), Scope: tally.NoopScope}, link{f.net, id})
		f.services[id] = s
		f.net.handlers[id] = s
		t.Cleanup(s.Close)
	}
	relay := newRelay(RelayConfig{Replicas: f.replicas, Scope: tally.NoopScope}, link{f.net, "relay"})
	f.net.handlers["relay"] = relay
	t.Cleanup(relay.Close)
	f.elect("a")
	return f
}

func (f *fleetInMemory) replicas() []string { return []string{"a", "b", "c"} }

func (f *fleetInMemory) client(t *testing.T, from string) *Client {
	c := f.newClient(from)
	t.Cleanup(c.Close)
	return c
}

// newClient makes a client that the caller closes.
func (f *fleetInMemory) newClient(from string) *Client {
	return newClient(ClientConfig{
		Replicas: f.replicas,
		Relays:   func() []string { return []string{"relay"} },
		Logger:   quietLogger(),
		Scope:    tally.NoopScope,
	}, link{f.net, from})
}

func (c *fakeCluster) currentLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (n *memNet) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	clear(n.delay)
}
