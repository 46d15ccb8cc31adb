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

// faultPoint is a point on the way of a request at which faults strike.
type faultPoint int

const (
	atRead faultPoint = iota
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
	numFaultPoints
)

func (s faultPoint) String() string {
	return [...]string{
		"read", "identify", "lease", "limits", "claim-proposed", "claim-committed", "dial",
		"first-byte", "body-written", "answer-first", "answer-mid", "stored", "sent",
	}[s]
}

// routerProcess is a router whose process can be killed, frozen and cut off.
type routerProcess struct {
	*fakeFleet
	router  *Router
	id      string
	cluster *testCluster
	url     string

	mu           sync.Mutex
	resume       chan struct{}
	dead         bool
	partitioned  bool
	leaseExpired bool
	conns        []*targetConn
}

// passPoint is called by the node's fakes as its request passes a step.
func (n *routerProcess) passPoint(s faultPoint) {
	if n == n.cluster.first {
		n.cluster.passPoint(s)
	}
	n.wait()
}

// wait blocks while the process is frozen, and until the cell's end if it is
// dead.
func (n *routerProcess) wait() {
	n.mu.Lock()
	halted := n.resume
	n.mu.Unlock()
	if halted != nil {
		<-halted
	}
}

func (n *routerProcess) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// isolated tells whether the node reaches neither targets nor the ledger.
func (n *routerProcess) isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead || n.partitioned
}

func (n *routerProcess) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *routerProcess) kill() {
	n.withLock(func() { n.dead, n.resume = true, make(chan struct{}) })
	n.router.server.Close()
	n.withLock(func() {
		for _, c := range n.conns {
			c.Conn.Close()
		}
	})
}

func (n *routerProcess) freeze() {
	n.withLock(func() { n.leaseExpired, n.resume = true, make(chan struct{}) })
}

func (n *routerProcess) thaw() {
	n.withLock(func() {
		if n.resume != nil {
			close(n.resume)
			n.resume = nil
		}
		n.partitioned = false
	})
}

// silenceConns lets open connections to targets carry nothing any more.
func (n *routerProcess) silenceConns() {
	n.withLock(func() {
		for _, c := range n.conns {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	})
}

func (n *routerProcess) partition() {
	n.silenceConns()
	n.withLock(func() { n.partitioned, n.leaseExpired = true, true })
}

func (n *routerProcess) Lease() (uint64, time.Time, bool) {
	n.passPoint(atLease)
	n.mu.Lock()
	defer n.mu.Unlock()
	return 7, time.Now().Add(time.Minute), !n.leaseExpired
}

func (n *routerProcess) ContractByKey(sum [32]byte) (*pb.Contract, bool) {
	n.passPoint(atIdentify)
	return n.fakeFleet.ContractByKey(sum)
}

func (n *routerProcess) Take(context.Context, filter.Demand) (func(filter.Usage), error) {
	n.passPoint(atLimits)
	return func(filter.Usage) {}, nil
}

func (n *routerProcess) Observe(*filter.Record) { n.passPoint(atSent) }

var errPartitioned = errors.New("cut off")

func (n *routerProcess) Claim(ctx context.Context, c *pb.Claim) (*pb.ClaimResult, error) {
	n.passPoint(atClaimProposed)
	if n.isolated() {
		return nil, errPartitioned
	}
	if n.cluster.consumeLeaderChange() {
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_NOT_LEADER, "no leader")
	}
	result, err := n.cluster.ledger.Claim(ctx, c)
	n.passPoint(atClaimCommitted)
	if n.isolated() || n.cluster.consumeLeaderChange() {
		return nil, errPartitioned
	}
	return result, err
}

func (n *routerProcess) Resolve(ctx context.Context, r *pb.Resolve) (*pb.ResolveResult, error) {
	n.wait()
	if n.isDead() {
		// Ends what is left of the process at the cell's end.
		return &pb.ResolveResult{}, nil
	}
	if n.isolated() || n.cluster.consumeLeaderChange() {
		return nil, errPartitioned
	}
	result, err := n.cluster.ledger.Resolve(ctx, r)
	n.passPoint(atStored)
	if n.isolated() || n.cluster.consumeLeaderChange() {
		return nil, errPartitioned
	}
	return result, err
}

func (n *routerProcess) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.passPoint(atDial)
	if n.isolated() {
		return nil, errPartitioned
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	nc := &targetConn{Conn: c, process: n, silent: make(chan struct{}), closed: make(chan struct{})}
	n.withLock(func() { n.conns = append(n.conns, nc) })
	return nc, nil
}

// targetConn is a node's connection to a target.
type targetConn struct {
	net.Conn
	process     *routerProcess
	silenceOnce sync.Once
	closeOnce   sync.Once
	silent      chan struct{}
	closed      chan struct{}
}

func (c *targetConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write loses what a silent connection is given.
func (c *targetConn) Write(p []byte) (int, error) {
	c.process.wait()
	if c.isSilent() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.process.passPoint(atFirstByte)
	return n, err
}

// Read finds nothing on a silent connection.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.process.wait()
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *targetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
