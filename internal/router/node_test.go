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

// faultPoint is a point in the processing of a request at which a fault can be
// injected.
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

func (at faultPoint) String() string {
	return [...]string{
		"read", "identify", "lease", "limits", "claim-proposed", "claim-committed", "dial",
		"first-byte", "body-written", "answer-first", "answer-mid", "stored", "sent",
	}[at]
}

// routerProcess is a router whose process can be killed, frozen or partitioned
// from its targets and the ledger.
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

// passPoint is called by the router's fakes when a request passes a fault point. It
// blocks while the process is frozen.
func (p *routerProcess) passPoint(at faultPoint) {
	if p == p.cluster.first {
		p.cluster.passPoint(at)
	}
	p.wait()
}

// wait blocks while the process is frozen. If the process is dead, it blocks until
// the end of the cell.
func (p *routerProcess) wait() {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (p *routerProcess) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// isolated reports whether the process can reach neither targets nor the ledger.
func (p *routerProcess) isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead || p.partitioned
}

func (p *routerProcess) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *routerProcess) kill() {
	p.withLock(func() { p.dead, p.resume = true, make(chan struct{}) })
	p.router.server.Close()
	p.withLock(func() {
		for _, c := range p.conns {
			c.Conn.Close()
		}
	})
}

func (p *routerProcess) freeze() {
	p.withLock(func() { p.leaseExpired, p.resume = true, make(chan struct{}) })
}

func (p *routerProcess) thaw() {
	p.withLock(func() {
		if p.resume != nil {
			close(p.resume)
			p.resume = nil
		}
		p.partitioned = false
	})
}

// silenceConns stops all data on the open connections to targets without closing
// them.
func (p *routerProcess) silenceConns() {
	p.withLock(func() {
		for _, c := range p.conns {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	})
}

func (p *routerProcess) partition() {
	p.silenceConns()
	p.withLock(func() { p.partitioned, p.leaseExpired = true, true })
}

func (p *routerProcess) Lease() (uint64, time.Time, bool) {
	p.passPoint(atLease)
	p.mu.Lock()
	defer p.mu.Unlock()
	return 7, time.Now().Add(time.Minute), !p.leaseExpired
}

func (p *routerProcess) ContractByKey(sum [32]byte) (*pb.Contract, bool) {
	p.passPoint(atIdentify)
	return p.fakeFleet.ContractByKey(sum)
}

func (p *routerProcess) Take(context.Context, filter.Demand) (func(filter.Usage), error) {
	p.passPoint(atLimits)
	return func(filter.Usage) {}, nil
}

func (p *routerProcess) Observe(*filter.Record) { p.passPoint(atSent) }

var errPartitioned = errors.New("cut off")

func (p *routerProcess) Claim(ctx context.Context, c *pb.Claim) (*pb.ClaimResult, error) {
	p.passPoint(atClaimProposed)
	if p.isolated() {
		return nil, errPartitioned
	}
	if p.cluster.consumeLeaderChange() {
		return nil, transport.NewStatusError(pb.CallStatus_CALL_STATUS_NOT_LEADER, "no leader")
	}
	result, err := p.cluster.ledger.Claim(ctx, c)
	p.passPoint(atClaimCommitted)
	if p.isolated() || p.cluster.consumeLeaderChange() {
		return nil, errPartitioned
	}
	return result, err
}

func (p *routerProcess) Resolve(ctx context.Context, r *pb.Resolve) (*pb.ResolveResult, error) {
	p.wait()
	if p.isDead() {
		// A dead process is resumed only at the end of the cell: this success
		// lets its remaining goroutines end.
		return &pb.ResolveResult{}, nil
	}
	if p.isolated() || p.cluster.consumeLeaderChange() {
		return nil, errPartitioned
	}
	result, err := p.cluster.ledger.Resolve(ctx, r)
	p.passPoint(atStored)
	if p.isolated() || p.cluster.consumeLeaderChange() {
		return nil, errPartitioned
	}
	return result, err
}

func (p *routerProcess) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	p.passPoint(atDial)
	if p.isolated() {
		return nil, errPartitioned
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	conn := &targetConn{Conn: c, process: p, silent: make(chan struct{}), closed: make(chan struct{})}
	p.withLock(func() { p.conns = append(p.conns, conn) })
	return conn, nil
}

// targetConn is a router process's connection to a target.
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

// Write discards data on a silent connection.
func (c *targetConn) Write(p []byte) (int, error) {
	c.process.wait()
	if c.isSilent() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.process.passPoint(atFirstByte)
	return n, err
}

// Read blocks on a silent connection until it is closed.
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
