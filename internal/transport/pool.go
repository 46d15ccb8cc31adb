package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// dialTimeout bounds a TCP connect to a peer.
	dialTimeout = 1 * time.Second
	// idleSessionTimeout closes sessions without calls, so that a process
	// holds sessions only to the peers it talks to.
	idleSessionTimeout = 60 * time.Second
	// aliveFor is how long after its last answer a session counts as alive.
	aliveFor = 2 * time.Second
	// defaultCallTimeout bounds calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
)

// Dialer opens connections; net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Meter is told of all bytes that calls send and receive, by method.
type Meter interface {
	Sent(method string, n int)
	Received(method string, n int)
}

// SendLimiter is a Meter that can hold a call back before it is sent.
type SendLimiter interface {
	// Ready tells whether a call of n bytes may be sent now.
	Ready(method string, n int) bool
}

// errBudgetExhausted is the reason of a call that the gate held back.
var errBudgetExhausted = errors.New("the control budget is used up")

type nullMeter struct{}

func (nullMeter) Sent(string, int)     {}
func (nullMeter) Received(string, int) {}

// Pool makes calls to peers, over one session for each address.
type Pool struct {
	token  string
	dialer Dialer
	meter  Meter

	mu       sync.Mutex
	peers    map[string]*peer
	monitors sync.WaitGroup
	stop     chan struct{}
}

// NewPool makes a pool whose calls bear token. A nil dialer means net.Dialer,
// a nil meter counts nothing.
func NewPool(token string, dialer Dialer, meter Meter) *Pool {
	if dialer == nil {
		dialer = &net.Dialer{}
	}
	if meter == nil {
		meter = nullMeter{}
	}
	return &Pool{
		token:  token,
		dialer: dialer,
		meter:  meter,
		peers:  make(map[string]*peer),
		stop:   make(chan struct{}),
	}
}

// peer is the session to one address; its mutex serialises dialing.
type peer struct {
	mu      sync.Mutex
	session *yamux.Session
	// lastCall is when the last call began, proven when the peer last answered.
	lastCall  time.Time
	lastReply time.Time
}

// Call sends req to method at addr and reads the answer into resp. An error
// that wraps ErrNotSent means that no handler saw the call.
func (p *Pool) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrNotSent, err), method, addr)
	}
	if gate, ok := p.meter.(SendLimiter); ok && !gate.Ready(method, len(payload)) {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrNotSent, errBudgetExhausted), method, addr)
	}
	stream, session, err := p.openStream(ctx, addr)
	if err != nil {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrNotSent, err), method, addr)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	err = p.exchange(ctx, stream, method, payload, resp)
	if err != nil && session.IsClosed() {
		p.closeSession(addr, session)
	}
	return errs.Wrap(err, method, addr)
}

func (p *Pool) exchange(ctx context.Context, stream *yamux.Stream, method string, payload []byte, resp proto.Message) error {
	deadline, _ := ctx.Deadline()
	header := &pb.CallHeader{
		Method:    method,
		TimeoutMs: uint32(max(1, time.Until(deadline).Milliseconds())),
		Payload:   payload,
		Token:     p.token,
	}
	n, err := writeFrame(stream, header)
	p.meter.Sent(method, n)
	if err != nil {
		return contextError(ctx, err)
	}
	reply := &pb.CallReply{}
	n, err = readFrame(stream, reply)
	p.meter.Received(method, n)
	if err != nil {
		return contextError(ctx, err)
	}
	if reply.Status != pb.CallStatus_CALL_STATUS_OK {
		return errs.Wrap(&RemoteError{Status: reply.Status, Message: reply.Message}, reply.Step, reply.Peer)
	}
	return proto.Unmarshal(reply.Payload, resp)
}

// contextError prefers the context's error, which tells the caller more than
// the stream deadline that it caused.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (p *Pool) openStream(ctx context.Context, addr string) (*yamux.Stream, *yamux.Session, error) {
	for {
		session, fresh, err := p.session(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		stream, err := session.OpenStream()
		if err == nil {
			return stream, session, nil
		}
		p.closeSession(addr, session)
		if fresh || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

func (p *Pool) peer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.peers[addr]
	if !ok {
		found = &peer{}
		p.peers[addr] = found
	}
	return found
}

// session returns the open session to addr, dialing if there is none; fresh
// tells that it was dialed now.
func (p *Pool) session(ctx context.Context, addr string) (_ *yamux.Session, fresh bool, err error) {
	peer := p.peer(addr)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.lastCall = time.Now()
	if peer.checkAliveLocked() {
		return peer.session, false, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(dialCtx, "tcp", addr)
	if err != nil {
		return nil, false, err
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, false, err
	}
	peer.session = session
	peer.lastReply = time.Now()
	p.monitors.Go(func() { p.monitorSession(addr, peer, session) })
	return session, true, nil
}

// checkAliveLocked tells whether the present session may carry a call: it is open
// and the peer answered on it recently, or answers a ping now.
func (pe *peer) checkAliveLocked() bool {
	if pe.session == nil || pe.session.IsClosed() {
		return false
	}
	if time.Since(pe.lastReply) < aliveFor {
		return true
	}
	if _, err := pe.session.Ping(); err != nil {
		pe.session.Close()
		return false
	}
	pe.lastReply = time.Now()
	return true
}

// monitorSession pings a session in use and closes it once it is silent or unused. A
// connection that died without a reset is found this way.
func (p *Pool) monitorSession(addr string, peer *peer, session *yamux.Session) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	defer p.closeSession(addr, session)
	for {
		select {
		case <-p.stop:
			return
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
		idle := peer.idle(session)
		if idle > idleSessionTimeout {
			p.removePeer(addr, peer)
			return
		}
		if idle > pingInterval {
			// An idle session is proven before its next call instead.
			continue
		}
		if _, err := session.Ping(); err != nil {
			return
		}
		peer.markAlive(session)
	}
}

// idle returns the time since the last call, zero while one is open.
func (pe *peer) idle(session *yamux.Session) time.Duration {
	if session.NumStreams() > 0 {
		return 0
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return time.Since(pe.lastCall)
}

func (pe *peer) markAlive(session *yamux.Session) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.session == session {
		pe.lastReply = time.Now()
	}
}

// removePeer removes an address that is no longer called, so that the table holds
// only peers in use. A call that has the peer already may still dial; its
// session then ends by idleness like any other.
func (p *Pool) removePeer(addr string, peer *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[addr] == peer {
		delete(p.peers, addr)
	}
}

// closeSession closes a session and forgets it, if it is still the present one.
func (p *Pool) closeSession(addr string, session *yamux.Session) {
	session.Close()
	p.mu.Lock()
	peer, ok := p.peers[addr]
	p.mu.Unlock()
	if !ok {
		return
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.session == session {
		peer.session = nil
	}
}

// Close ends all sessions.
func (p *Pool) Close() {
	close(p.stop)
	p.monitors.Wait()
}
