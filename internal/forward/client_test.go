package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawTarget starts a target that passes each request to serve, with the number of
// the request on its connection. serve reports whether to keep the connection open.
func rawTarget(t *testing.T, serve func(n int, c net.Conn, req *http.Request) bool) (addr string, runs *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	runs = new(atomic.Int64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 1; ; n++ {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					runs.Add(1)
					if !serve(n, c, req) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), runs
}

func request(addr string, idempotent bool, body string) *Request {
	r := &Request{
		Target: "t1", Addr: addr, Method: "POST", URI: "/book", Body: []byte(body),
		Header:    http.Header{"Idempotency-Key": {"k"}},
		RequestID: "id-1", Idempotent: idempotent,
		FirstByte: time.Second, BetweenBytes: time.Second,
	}
	if idempotent {
		r.Method = "GET"
	}
	return r
}

func read(a *Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// TestNoReplay checks that the Transport does not replay a request. The target closes
// the connection after the second request and counts the requests that it reads. The
// test runs with the client's own choice of the connection and with reuse forced.
func TestNoReplay(t *testing.T) {
	for _, forced := range []bool{false, true} {
		// GET and HEAD are methods of requests without a body; the others are bodies.
		for _, bodyOrMethod := range []string{"", "steel", "GET", "HEAD"} {
			t.Run(fmt.Sprintf("forced=%v body=%q", forced, bodyOrMethod), func(t *testing.T) {
				r := request("", false, bodyOrMethod)
				if bodyOrMethod == "GET" || bodyOrMethod == "HEAD" {
					// The method is idempotent, but only the filter chain may retry
					// it.
					r.Method, r.Body = bodyOrMethod, nil
				}
				keys := make(chan string, 4)
				addr, runs := rawTarget(t, func(n int, c net.Conn, req *http.Request) bool {
					keys <- req.Header.Get("Idempotency-Key")
					if n == 2 || !forced && len(keys) == 2 {
						return false
					}
					if req.ContentLength < 0 || len(req.TransferEncoding) > 0 {
						t.Errorf("length %d, encoding %v", req.ContentLength, req.TransferEncoding)
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return true
				})
				r.Addr = addr
				c := New(Config{})
				defer c.Close()
				if forced {
					c.singleUse = c.keepAlive
				}
				if _, err := read(c.Do(context.Background(), r)); err != nil {
					t.Fatal(err)
				}
				if _, err := c.Do(context.Background(), r); !errors.Is(err, ErrTruncated) {
					t.Errorf("second request: %v", err)
				}
				if runs.Load() != 2 || <-keys != "k" {
					t.Errorf("the target read %d requests, want 2", runs.Load())
				}
			})
		}
	}
}

// TestAnswers checks the result for each kind of response, complete or faulty.
func TestAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, response, want string
		err                  error
		unframed             bool
	}{
		{name: "whole", response: ok + "Content-Length: 3\r\nX-Request-Id: id-1\r\n\r\nabc", want: "abc"},
		{name: "early hints", response: "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", want: "a"},
		{name: "chunked", response: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", want: "ab"},
		{name: "short", response: ok + "Content-Length: 5\r\n\r\nabc", want: "abc", err: ErrTruncated},
		{name: "cut chunk", response: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", want: "ab", err: ErrTruncated},
		{name: "no last chunk", response: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", want: "ab", err: ErrTruncated},
		{name: "ends by close", response: ok + "\r\nabc", want: "abc", unframed: true},
		{name: "another's", response: ok + "Content-Length: 1\r\nX-Request-Id: id-2\r\n\r\na", err: ErrRequestIDMismatch},
		{name: "upgrade", response: "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", err: ErrProtocol},
		{name: "status 000", response: "HTTP/1.1 000 Trouble\r\nContent-Length: 1\r\n\r\na", err: ErrProtocol},
		{name: "status -00", response: "HTTP/1.1 -00 Trouble\r\nContent-Length: 1\r\n\r\na", err: ErrProtocol},
		{name: "status 099", response: "HTTP/1.1 099 Trouble\r\nContent-Length: 1\r\n\r\na", err: ErrProtocol},
		{name: "status 599", response: "HTTP/1.1 599 Trouble\r\nContent-Length: 1\r\n\r\na", want: "a"},
		{name: "status 600", response: "HTTP/1.1 600 Trouble\r\nContent-Length: 1\r\n\r\na", err: ErrProtocol},
		{name: "status 1000", response: "HTTP/1.1 1000 Trouble\r\nContent-Length: 1\r\n\r\na", err: ErrTruncated},
		{name: "status 000 after early hints", response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\n\r\n", err: ErrProtocol},
		{name: "redirect", response: "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"},
		{name: "nothing", err: ErrTruncated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := rawTarget(t, func(_ int, c net.Conn, _ *http.Request) bool {
				io.WriteString(c, test.response)
				return false
			})
			c := New(Config{})
			defer c.Close()
			a, err := c.Do(context.Background(), request(addr, true, ""))
			got, err := read(a, err)
			if got != test.want || !errors.Is(err, test.err) || a != nil && a.Framed == test.unframed {
				t.Errorf("got %q, %v, %+v", got, err, a)
			}
		})
	}
}

// TestSilence checks that the client returns ErrSilent if a target stops sending at
// any point of its response, and that this closes the connection to the target.
func TestSilence(t *testing.T) {
	for _, response := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"} {
		ended := make(chan struct{})
		addr, _ := rawTarget(t, func(_ int, c net.Conn, _ *http.Request) bool {
			defer close(ended)
			io.WriteString(c, response)
			io.Copy(io.Discard, c)
			return false
		})
		c := New(Config{})
		r := request(addr, true, "")
		r.FirstByte, r.BetweenBytes = 50*time.Millisecond, 50*time.Millisecond
		if _, err := read(c.Do(context.Background(), r)); !errors.Is(err, ErrSilent) {
			t.Errorf("after %q: %v", response, err)
		}
		// The target's end of the connection closes, which cancels the request
		// there.
		<-ended
		c.Close()
	}
}

// TestRequestHeader checks which headers targets receive and which are removed.
func TestRequestHeader(t *testing.T) {
	h := defaultDialect.requestHeader(&Request{RequestID: "id", Chat: "team/id:7", Customer: "team", Header: http.Header{
		"X-Wigeonwood-Customer": {"forged"},
		"Connection":            {"x-hop, close"}, "X-Hop": {"1"}, "Authorization": {"Bearer x"}, "Te": {"trailers"},
		"Expect": {"100-continue"}, "X-Wigeonwood-Outcome": {"run"}, "X-Request-Id": {"forged"}, "X-Wigeonwood-Chat": {"forged"},
		"X-Idempotency-Key": {"k"}, "Accept": {"*/*"},
	}})
	var b bytes.Buffer
	h.Write(&b)
	if got := strings.ReplaceAll(b.String(), "\r\n", "|"); got != "Accept: */*|X-Request-Id: id|X-Wigeonwood-Chat: team/id:7|X-Wigeonwood-Customer: team|x-idempotency-key: k|" {
		t.Error(got)
	}
}

// TestReusesConnectionsOfEchoingTargets checks that only connections of targets that echo request ids
// are reused, so that a surplus response is never taken for that of another
// request.
func TestReusesConnectionsOfEchoingTargets(t *testing.T) {
	for _, echo := range []bool{false, true} {
		conns := make(chan net.Conn, 3)
		addr, _ := rawTarget(t, func(_ int, c net.Conn, req *http.Request) bool {
			conns <- c
			head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			if echo {
				head += "X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n"
			}
			io.WriteString(c, head+"\r\nok")
			return true
		})
		c := New(Config{})
		defer c.Close()
		for range 3 {
			if got, err := read(c.Do(context.Background(), request(addr, true, ""))); got != "ok" || err != nil {
				t.Fatal(got, err)
			}
		}
		first, second, third := <-conns, <-conns, <-conns
		if first == second || (second == third) != echo {
			t.Errorf("echo %v: reused %v, then %v", echo, first == second, second == third)
		}
	}
}

// FuzzAnswer parses arbitrary responses. A body that ends without an error must have
// its declared length, and a response with another request's id must be rejected.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nab\r\n0\r\nX: y\r\n\r\n")
	f.Add("HTTP/1.1 103 Early\r\n\r\nHTTP/1.0 200 OK\r\nX-Request-Id: id-2\r\n\r\nabc")
	f.Add("HTTP/1.1 200 OK\r\nX : y\r\n Content-Length: 1\r\n\r\nab")
	f.Add("HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")
	f.Fuzz(func(t *testing.T, response string) {
		c := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go func() {
				defer there.Close()
				http.ReadRequest(bufio.NewReader(there))
				io.WriteString(there, response)
			}()
			return here, nil
		}})
		defer c.Close()
		a, err := c.Do(context.Background(), request("t", true, ""))
		body, err := read(a, err)
		if err == nil && a.Length >= 0 && int64(len(body)) != a.Length {
			t.Errorf("a body of %d bytes, %d declared, ends without an error", len(body), a.Length)
		}
		if err == nil && a.Header.Get(HeaderRequestID) != "" && a.Header.Get(HeaderRequestID) != "id-1" {
			t.Error("the response to another request was accepted")
		}
		if err == nil {
			for name := range a.Header {
				if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 127 || !isTokenByte(byte(r)) }) {
					t.Errorf("a field with the name %q was accepted", name)
				}
			}
		}
	})
}
