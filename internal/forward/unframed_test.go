package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// TestConnectionEndOfATarget guards against a response that a crash broke off and that is taken
// for a complete one, and against a complete response that is taken for one that broke off:
// without a length and chunks it ends with its connection, which a crash closes as well. A
// target that leaves as planned refuses connections, one at its connection limit resets them,
// and a target that is silent accepts late.
func TestConnectionEndOfATarget(t *testing.T) {
	leaving := func() Life { return Life{Leaves: true} }
	for name, test := range map[string]struct {
		// afterwards is what the target does with new connections.
		afterwards func(ln net.Listener)
		leaving    func() Life
		// broken is set if another response of the target breaks off at the same time.
		broken bool
		err    error
	}{
		"serves on":           {afterwards: acceptAll},
		"refuses connections": {afterwards: func(ln net.Listener) { ln.Close() }, err: ErrTruncated},
		"refuses connections, not known to leave":      {afterwards: func(ln net.Listener) { ln.Close() }, leaving: func() Life { return Life{} }, err: ErrTruncated},
		"refuses connections, leaves":                  {afterwards: func(ln net.Listener) { ln.Close() }, leaving: leaving},
		"refuses connections, leaves and crashes":      {afterwards: func(ln net.Listener) { ln.Close() }, leaving: leaving, broken: true, err: ErrTruncated},
		"resets connections at its limit":              {afterwards: resetAll},
		"resets one connection, refuses others":        {afterwards: resetOne, err: ErrTruncated},
		"resets one connection, leaves":                {afterwards: resetOne, leaving: leaving},
		"closes its connection":                        {afterwards: closeAll, err: ErrTruncated},
		"closes its connection, leaves":                {afterwards: closeAll, leaving: leaving, err: ErrTruncated},
		"another response broke off, but it serves on": {afterwards: acceptAll, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr := unframedTarget(t, "HTTP/1.1 200 OK\r\n\r\nabc", test.afterwards)
			c := New(Config{})
			defer c.Close()
			r := request(addr, true, "")
			r.Life = test.leaving
			resp, err := c.Do(context.Background(), r)
			if test.broken {
				c.breaks.record(addr)
			}
			got, err := read(resp, err)
			if got != "abc" || !errors.Is(err, test.err) || err != nil && test.err == nil {
				t.Errorf("got %q, %v, want %v", got, err, test.err)
			}
		})
	}
}

// TestConnectionEndOfASilentTarget guards against a complete response that is taken for one
// that broke off, because connections to its target time out during a second of silence.
func TestConnectionEndOfASilentTarget(t *testing.T) {
	const silence, dialTimeout = 1300 * time.Millisecond, 500 * time.Millisecond
	addr := unframedTarget(t, "HTTP/1.1 200 OK\r\n\r\nabc", acceptAll)
	var end time.Time
	c := New(Config{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if end.IsZero() {
			end = time.Now().Add(silence)
		} else if time.Until(end) > 0 {
			time.Sleep(dialTimeout)
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}})
	defer c.Close()
	if got, err := read(c.Do(context.Background(), request(addr, true, ""))); got != "abc" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// unframedTarget starts a target that writes response to its first connection and closes it,
// after it has called afterwards.
func unframedTarget(t *testing.T, response string, afterwards func(ln net.Listener)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		io.WriteString(conn, response)
		afterwards(ln)
		conn.Close()
	}()
	return ln.Addr().String()
}

func acceptAll(ln net.Listener) {
	go http.Serve(ln, http.NotFoundHandler())
}

func resetAll(ln net.Listener) {
	go acceptEach(ln, func(c *net.TCPConn) { _ = c.SetLinger(0) })
}

// resetOne resets one connection and refuses all others, as the system does for a process that
// ends while a connection waits to be accepted.
func resetOne(ln net.Listener) {
	go func() {
		conn, err := ln.Accept()
		ln.Close()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
}

func closeAll(ln net.Listener) {
	go acceptEach(ln, func(*net.TCPConn) {})
}

// acceptEach closes each connection after do.
func acceptEach(ln net.Listener, do func(c *net.TCPConn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		do(conn.(*net.TCPConn))
		conn.Close()
	}
}
