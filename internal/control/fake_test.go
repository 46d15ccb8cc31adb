package control

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

func discardLogger() *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
}

const (
	// fakeLeaderLease is how long a cut leader may still act as the leader.
	fakeLeaderLease = 500 * time.Millisecond
	// fakeCommit is the duration of a commit or a read-index round.
	fakeCommit = 2 * time.Millisecond
	// memNetDelay is the delivery time of a message without faults.
	memNetDelay = time.Millisecond
)

// fakeCluster is a replicated log in memory without consensus: the test appoints
// the leader and decides which replicas reach a quorum.
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
	// term is the term that this replica believes it leads, zero if none.
	term uint64
	// cut is set if the replica reaches no quorum.
	cut bool
	// leaderLeaseEnd is when a cut replica must stop acting as the leader.
	leaderLeaseEnd time.Time
	// loseReply makes the next proposal commit with the outcome unknown.
	loseReply bool
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

// elect makes id the leader of a new term. The old leader learns of it unless it
// is cut.
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
	n.leaderLeaseEnd = time.Now().Add(fakeLeaderLease)
	if !cut && c.leader != id {
		n.term = 0
	}
}

// leads reports whether the replica leads with a quorum. The caller must hold the
// cluster's lock.
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
	if n.loseReply {
		n.loseReply = false
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

func (n *fakeLog) LeaderLease() (time.Time, uint64, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.leads() {
		return time.Now().Add(fakeLeaderLease), n.term, true
	}
	return n.leaderLeaseEnd, n.term, n.term != 0 && time.Now().Before(n.leaderLeaseEnd)
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

// memFleet consists of three replicas, one relay and the network between them, all
// in memory.
type memFleet struct {
	*fakeCluster
	net      *memNet
	services map[string]*Service
}

func newMemFleet(t *testing.T) *memFleet {
	f := &memFleet{
		fakeCluster: newFakeCluster("a", "b", "c"),
		net:         newMemNet(),
		services:    map[string]*Service{},
	}
	for id, node := range f.nodes {
		s := newService(Config{Log: node, State: node.machine, Logger: discardLogger(), Scope: tally.NoopScope}, link{f.net, id})
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

func (f *memFleet) replicas() []string { return []string{"a", "b", "c"} }

func (f *memFleet) client(t *testing.T, from string) *Client {
	c := f.newClient(from)
	t.Cleanup(c.Close)
	return c
}

// newClient returns a client that the caller must close.
func (f *memFleet) newClient(from string) *Client {
	return newClient(ClientConfig{
		Replicas: f.replicas,
		Relays:   func() []string { return []string{"relay"} },
		Logger:   discardLogger(),
		Scope:    tally.NoopScope,
	}, link{f.net, from})
}

func (c *fakeCluster) currentLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}
