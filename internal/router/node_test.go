package router

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// step is a point on the way of a request at which faults strike.
type step int

const (
	atRead step = iota
	atIdentify
	atLease
	atLimits
	atClaimProposed
	atClaimCommitted
	atDial
	atFirstByte
	atBodyWritten
	atAnswerFirst
	atAnswerMid
	atStored
	atSent
	steps
)

func (s step) String() string {
	return [...]string{
		"read", "identify", "lease", "limits", "claim-proposed", "claim-committed", "dial",
		"first-byte", "body-written", "answer-first", "answer-mid", "stored", "sent",
	}[s]
}

// node is a router whose process can be killed, frozen and cut off.
type node struct {
	*fakeFleet
	router *Router
	id     string
	world  *world
	url    string

	mu     sync.Mutex
	halted chan struct{}
	dead   bool
	cut    bool
	stale  bool
	conns  []*nodeConn
}

// reach is called by the node's fakes as its request passes a step.
func (n *node) reach(s step) {
	if n == n.world.first {
		n.world.reach(s)
	}
	n.wait()
}

// wait blocks while the process is frozen, and until the cell's end if it is
// dead.
func (n *node) wait() {
	n.mu.Lock()
	halted := n.halted
	n.mu.Unlock()
	if halted != nil {
		<-halted
	}
}

func (n *node) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// off tells whether the node reaches neither targets nor the ledger.
func (n *node) off() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead || n.cut
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) kill() {
	n.set(func() { n.dead, n.halted = true, make(chan struct{}) })
	n.router.server.Close()
	n.set(func() {
		for _, c := range n.conns {
			c.Conn.Close()
		}
	})
}

func (n *node) freeze() {
	n.set(func() { n.stale, n.halted = true, make(chan struct{}) })
}

func (n *node) thaw() {
	n.set(func() {
		if n.halted != nil {
			close(n.halted)
			n.halted = nil
		}
		n.cut = false
	})
}

// silence lets open connections to targets carry nothing any more.
func (n *node) silence() {
	n.set(func() {
		for _, c := range n.conns {
			c.once.Do(func() { close(c.silent) })
		}
	})
}

func (n *node) partition() {
	n.silence()
	n.set(func() { n.cut, n.stale = true, true })
}

func (n *node) Lease() (uint64, time.Time, bool) {
	n.reach(atLease)
	n.mu.Lock()
	defer n.mu.Unlock()
	return 7, time.Now().Add(time.Minute), !n.stale
}

func (n *node) ContractByKey(sum [32]byte) (*pb.Contract, bool) {
	n.reach(atIdentify)
	return n.fakeFleet.ContractByKey(sum)
}

func (n *node) Take(context.Context, filter.Demand) (func(filter.Usage), error) {
	n.reach(atLimits)
	return func(filter.Usage) {}, nil
}

func (n *node) Observe(*filter.Record) { n.reach(atSent) }

var errCutOff = errors.New("cut off")

func (n *node) Claim(ctx context.Context, c *pb.Claim) (*pb.ClaimResult, error) {
	n.reach(atClaimProposed)
	if n.off() {
		return nil, errCutOff
	}
	if n.world.takeLeaderChange() {
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_NOT_LEADER, "no leader")
	}
	result, err := n.world.ledger.Claim(ctx, c)
	n.reach(atClaimCommitted)
	if n.off() || n.world.takeLeaderChange() {
		return nil, errCutOff
	}
	return result, err
}

func (n *node) Resolve(ctx context.Context, r *pb.Resolve) (*pb.ResolveResult, error) {
	n.wait()
	if n.isDead() {
		// Ends what is left of the process at the cell's end.
		return &pb.ResolveResult{}, nil
	}
	if n.off() || n.world.takeLeaderChange() {
		return nil, errCutOff
	}
	result, err := n.world.ledger.Resolve(ctx, r)
	n.reach(atStored)
	if n.off() || n.world.takeLeaderChange() {
		return nil, errCutOff
	}
	return result, err
}

func (n *node) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.reach(atDial)
	if n.off() {
		return nil, errCutOff
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	nc := &nodeConn{Conn: c, node: n, silent: make(chan struct{}), closed: make(chan struct{})}
	n.set(func() { n.conns = append(n.conns, nc) })
	return nc, nil
}

// nodeConn is a node's connection to a target.
type nodeConn struct {
	net.Conn
	node   *node
	once   sync.Once
	shut   sync.Once
	silent chan struct{}
	closed chan struct{}
}

func (c *nodeConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write loses what a silent connection is given.
func (c *nodeConn) Write(p []byte) (int, error) {
	c.node.wait()
	if c.isSilent() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.node.reach(atFirstByte)
	return n, err
}

// Read finds nothing on a silent connection.
func (c *nodeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.wait()
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *nodeConn) Close() error {
	c.shut.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
