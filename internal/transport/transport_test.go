package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/goleak"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// freezableProxy forwards TCP connections to target. Once freeze is set, the
// connection that next receives data stays open but forwards nothing more.
type freezableProxy struct {
	net.Listener
	target string
	freeze atomic.Bool
}

func startProxy(t *testing.T, target string) *freezableProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &freezableProxy{Listener: l, target: target}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			// Each connection has its own flag, so that the others still work after one
			// freezes.
			silent := &atomic.Bool{}
			go r.copy(in, out, silent)
			go r.copy(out, in, silent)
		}
	}()
	t.Cleanup(func() { l.Close() })
	return r
}

func (proxy *freezableProxy) copy(dst, src net.Conn, silent *atomic.Bool) {
	defer dst.Close()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if proxy.freeze.CompareAndSwap(true, false) {
			silent.Store(true)
		}
		if silent.Load() {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func startServer(t *testing.T) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer("secret", &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	Handle(s, "echo", func(_ context.Context, req *pb.StoredAnswer) (*pb.StoredAnswer, error) {
		return req, nil
	})
	Handle(s, "refuse", func(context.Context, *pb.StoredAnswer) (*pb.StoredAnswer, error) {
		return nil, NewStatusError(pb.CallStatus_CALL_STATUS_NOT_LEADER, "not here")
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

func echo(ctx context.Context, p *Pool, addr string) error {
	resp := &pb.StoredAnswer{}
	err := p.Call(ctx, addr, "echo", &pb.StoredAnswer{Body: []byte("x")}, resp)
	if err == nil && string(resp.Body) != "x" {
		return errors.New("the reply belongs to another call")
	}
	return err
}

func TestCall(t *testing.T) {
	addr := startServer(t)
	p := NewPool("secret", nil, nil)
	defer p.Close()
	for range 100 {
		if err := echo(t.Context(), p, addr); err != nil {
			t.Fatal(err)
		}
	}
	err := p.Call(t.Context(), addr, "refuse", &pb.StoredAnswer{}, &pb.StoredAnswer{})
	if Status(err) != pb.CallStatus_CALL_STATUS_NOT_LEADER {
		t.Fatalf("status of %v", err)
	}
	wrong := NewPool("guess", nil, nil)
	defer wrong.Close()
	if err := echo(t.Context(), wrong, addr); Status(err) != pb.CallStatus_CALL_STATUS_UNAUTHORIZED {
		t.Fatalf("wrong token: %v", err)
	}
}

func TestDialFailureIsNotSent(t *testing.T) {
	p := NewPool("secret", nil, nil)
	defer p.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	if err := echo(t.Context(), p, addr); !errors.Is(err, ErrNotSent) {
		t.Fatalf("got %v", err)
	}
}

// TestSilentSessionIsReplaced checks that pings detect a peer that stops replying on
// an open connection: the call on that connection fails long before its own
// deadline, and the next call uses a new connection.
func TestSilentSessionIsReplaced(t *testing.T) {
	proxy := startProxy(t, startServer(t))
	p := NewPool("secret", nil, nil)
	defer p.Close()
	addr := proxy.Addr().String()
	if err := echo(t.Context(), p, addr); err != nil {
		t.Fatal(err)
	}
	proxy.freeze.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	start := time.Now()
	if err := echo(ctx, p, addr); err == nil {
		t.Fatal("the call on a silent session succeeded")
	}
	if took := time.Since(start); took > 2*(pingInterval+pingTimeout) {
		t.Fatalf("the silent session was detected only after %v", took)
	}
	if err := echo(ctx, p, addr); err != nil {
		t.Fatalf("the next call did not use a new connection: %v", err)
	}
}

// denyingLimiter allows no call and counts the bytes that are sent nevertheless.
type denyingLimiter struct{ sent int }

func (l *denyingLimiter) Ready(string, int) bool   { return false }
func (l *denyingLimiter) Sent(_ string, n int)     { l.sent += n }
func (l *denyingLimiter) Received(_ string, n int) { l.sent += n }

// TestHeldBackCallIsNotSent checks that a call which the SendLimiter does not allow
// fails with ErrNotSent and sends no bytes.
func TestHeldBackCallIsNotSent(t *testing.T) {
	limiter := &denyingLimiter{}
	p := NewPool("secret", nil, limiter)
	defer p.Close()
	if err := echo(t.Context(), p, startServer(t)); !errors.Is(err, ErrNotSent) || limiter.sent != 0 {
		t.Fatalf("got %v, %d bytes sent", err, limiter.sent)
	}
}

// TestIdleSilentSessionIsProvenFirst checks that a call on an idle session pings the
// peer first; a session is "proven" once the peer has replied to a ping. The connection
// stops forwarding while the session is idle; the call must succeed on a new
// connection.
func TestIdleSilentSessionIsProvenFirst(t *testing.T) {
	proxy := startProxy(t, startServer(t))
	p := NewPool("secret", nil, nil)
	defer p.Close()
	addr := proxy.Addr().String()
	if err := echo(t.Context(), p, addr); err != nil {
		t.Fatal(err)
	}
	time.Sleep(aliveFor + 2*pingInterval)
	proxy.freeze.Store(true)
	if err := echo(t.Context(), p, addr); err != nil {
		t.Fatalf("the call used a session without a ping before: %v", err)
	}
}
