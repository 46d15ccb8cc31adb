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
	// dialTimeout bounds the TCP connect to a peer.
	dialTimeout = 1 * time.Second
	// idleSessionTimeout is the time without calls after which a session is closed,
	// so that a process holds sessions only to the peers that it calls.
	idleSessionTimeout = 60 * time.Second
	// aliveFor is how long a session counts as alive after the peer's last ping
	// reply.
	aliveFor = 2 * time.Second
	// defaultCallTimeout bounds calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
)

// Dialer opens connections. net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Meter counts the bytes of the frames that calls send and receive, by method.
type Meter interface {
	Sent(method string, n int)
	Received(method string, n int)
}

// SendLimiter decides whether calls may be sent. A Pool uses its Meter as
// SendLimiter if the Meter implements this interface.
type SendLimiter interface {
	// Ready reports whether a call of n bytes may be sent now.
	Ready(method string, n int) bool
}

// errBudgetExhausted is wrapped together with ErrNotSent if the SendLimiter does not
// allow the call now.
var errBudgetExhausted = errors.New("the control budget is used up")

// noopMeter is a Meter that counts nothing.
type noopMeter struct{}

func (noopMeter) Sent(string, int)     {}
func (noopMeter) Received(string, int) {}

// Pool makes calls to peers. It keeps one session for each address.
type Pool struct {
	token  string
	dialer Dialer
	meter  Meter

	mu       sync.Mutex
	peers    map[string]*peer
	monitors sync.WaitGroup
	stop     chan struct{}
}

// NewPool creates a Pool that authenticates its calls with token. A nil dialer
// means net.Dialer, a nil meter disables the counting.
func NewPool(token string, dialer Dialer, meter Meter) *Pool {
	if dialer == nil {
		dialer = &net.Dialer{}
	}
	if meter == nil {
		meter = noopMeter{}
	}
	return &Pool{
		token:  token,
		dialer: dialer,
		meter:  meter,
		peers:  make(map[string]*peer),
		stop:   make(chan struct{}),
	}
}

// peer holds the session to one address. mu also serialises dialing.
type peer struct {
	mu      sync.Mutex
	session *yamux.Session
	// lastCall is when the last call began. lastReply is when the peer last replied
	// to a ping or, before that, when the session was opened.
	lastCall  time.Time
	lastReply time.Time
}

// Call sends req to a method of the instance at addr and reads the reply into resp.
// An error that wraps ErrNotSent means that no handler received the call.
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
	if limiter, ok := p.meter.(SendLimiter); ok && !limiter.Ready(method, len(payload)) {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrNotSent, errBudgetExhausted), method, addr)
	}
	stream, session, err := p.openStream(ctx, addr)
	if err != nil {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrNotSent, err), method, addr)
	}
	defer stream.Close()
	// When ctx ends, a deadline in the past interrupts a blocked read or write.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	err = p.exchange(ctx, stream, method, payload, resp)
	if err != nil && session.IsClosed() {
		p.closeSession(addr, session)
	}
	return errs.Wrap(err, method, addr)
}

// exchange sends the request of a call on its stream and reads the reply. ctx must
// have a deadline.
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
		return errs.Wrap(&StatusError{Status: reply.Status, Message: reply.Message}, reply.Step, reply.Peer)
	}
	return proto.Unmarshal(reply.Payload, resp)
}

// contextError returns the context's error if there is one, since it is more
// specific than the error of the expired stream deadline that it caused.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// openStream opens a stream to addr. If an existing session fails to open one,
// openStream closes that session and tries again; it fails if a session that it
// dialed itself fails.
func (p *Pool) openStream(ctx context.Context, addr string) (*yamux.Stream, *yamux.Session, error) {
	for {
		session, dialed, err := p.session(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		stream, err := session.OpenStream()
		if err == nil {
			return stream, session, nil
		}
		p.closeSession(addr, session)
		if dialed || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

// peer returns the entry of addr and creates it if there is none.
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

// session returns the open session to addr and dials if there is none. dialed is
// set if the session was dialed by this call.
func (p *Pool) session(ctx context.Context, addr string) (_ *yamux.Session, dialed bool, err error) {
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

// checkAliveLocked reports whether the current session may carry a call: it is
// open, and the peer replied recently or replies to a ping now. pe.mu must be held.
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

// monitorSession pings a session in use and closes it if the peer does not reply or
// no calls are made. The pings detect a connection that died without a TCP reset.
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
			// The session is idle: the next call checks that the peer is alive.
			continue
		}
		if _, err := session.Ping(); err != nil {
			return
		}
		peer.markAlive(session)
	}
}

// idle returns the time since the last call began, or zero while a call is running.
func (pe *peer) idle(session *yamux.Session) time.Duration {
	if session.NumStreams() > 0 {
		return 0
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return time.Since(pe.lastCall)
}

// markAlive records a ping reply on the session, if it is still the current one.
func (pe *peer) markAlive(session *yamux.Session) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.session == session {
		pe.lastReply = time.Now()
	}
}

// removePeer removes an address that is no longer called, so that the map contains
// only peers in use. A concurrent call that already has the peer may still dial;
// monitorSession closes its session after idleSessionTimeout like any other.
func (p *Pool) removePeer(addr string, peer *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[addr] == peer {
		delete(p.peers, addr)
	}
}

// closeSession closes a session and removes it from its peer, if it is still the
// current one.
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

// Close closes all sessions and waits until their monitors have returned. It must be
// called only once.
func (p *Pool) Close() {
	close(p.stop)
	p.monitors.Wait()
}
