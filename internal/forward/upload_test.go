package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// uploadBytes is more than the system holds for a connection whose other end does not read.
	uploadBytes = 16 << 20
	// uploadTries is how often a race between the end of a response and that of an upload runs.
	uploadTries = 40
)

// earlyTarget starts a target that answers each request at once, without reading its body, and
// passes the connection to end a moment later.
func earlyTarget(t *testing.T, response string, end func(*net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go acceptEach(ln, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		time.Sleep(10 * time.Millisecond)
		end(conn)
	})
	return ln.Addr().String()
}

// TestResetDuringUpload guards against a response without framing that a reset broke off and that
// is taken for a complete one: the system reports a reset once, and the upload that is still
// being written may receive that report instead of the response.
func TestResetDuringUpload(t *testing.T) {
	addr := earlyTarget(t, "HTTP/1.1 200 OK\r\n\r\nabc", func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	c := New(Config{})
	defer c.Close()
	upload := strings.Repeat("x", uploadBytes)
	for i := range uploadTries {
		resp, err := c.Do(context.Background(), request(addr, false, upload))
		if !errors.Is(err, ErrTruncated) {
			got, err := read(resp, err)
			t.Errorf("try %d: got %q, error %v, want %v instead of a response", i, got, err, ErrTruncated)
		}
	}
}

// TestResetOfLongAnswerDuringUpload is TestResetDuringUpload for a stream of events and for a
// response that is too long to be held back.
func TestResetOfLongAnswerDuringUpload(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", 2*maxEarlyBytes),
	} {
		addr := earlyTarget(t, response, func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
		c := New(Config{})
		defer c.Close()
		upload := strings.Repeat("x", uploadBytes)
		_, body, _ := strings.Cut(response, "\r\n\r\n")
		for i := range uploadTries {
			got, err := read(c.Do(context.Background(), request(addr, false, upload)))
			if !errors.Is(err, ErrTruncated) || !strings.HasPrefix(body, got) {
				t.Errorf("try %d: got %q, error %v, want %v", i, got, err, ErrTruncated)
			}
		}
	}
}

// TestEndDuringUpload checks that a response without framing is complete if its target ends it in
// order, also while the upload is still being written.
func TestEndDuringUpload(t *testing.T) {
	for _, body := range []string{"", "abc", strings.Repeat("a", maxEarlyBytes), strings.Repeat("a", 3*maxEarlyBytes)} {
		addr := earlyTarget(t, "HTTP/1.1 413 Content Too Large\r\n\r\n"+body, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		})
		c := New(Config{})
		defer c.Close()
		upload := strings.Repeat("x", uploadBytes)
		for i := range uploadTries / 4 {
			got, err := read(c.Do(context.Background(), request(addr, false, upload)))
			if got != body || err != nil {
				t.Errorf("try %d: got %d bytes, error %v, want %d", i, len(got), err, len(body))
			}
		}
	}
}
