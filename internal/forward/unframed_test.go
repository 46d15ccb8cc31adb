package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestConnectionEndOfACrashedTarget guards against a response that a crash broke off and that
// is taken for a complete one: without a length and chunks it ends with its connection, which
// a crash closes as well.
func TestConnectionEndOfACrashedTarget(t *testing.T) {
	for name, test := range map[string]struct {
		// afterwards is what the target does with new connections.
		afterwards func(ln net.Listener)
		err        error
	}{
		"serves on":             {afterwards: acceptAll},
		"refuses connections":   {afterwards: func(ln net.Listener) { ln.Close() }, err: ErrTruncated},
		"resets connections":    {afterwards: resetAll, err: ErrTruncated},
		"closes its connection": {afterwards: closeAll, err: ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			addr := unframedTarget(t, "HTTP/1.1 200 OK\r\n\r\nabc", test.afterwards)
			c := New(Config{})
			defer c.Close()
			got, err := read(c.Do(context.Background(), request(addr, true, "")))
			if got != "abc" || !errors.Is(err, test.err) || err != nil && test.err == nil {
				t.Errorf("got %q, %v, want %v", got, err, test.err)
			}
		})
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
