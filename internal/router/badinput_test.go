package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/bodybuffer"
)

// TestBadInput sends invalid requests of the kinds that new users make. Each gets
// one answer with a matching status and code, and none reaches a target.
func TestBadInput(t *testing.T) {
	h := newHarnessWithConfig(t, Config{Bounds: Bounds{
		MaxBodyBytes: 100, MaxHeaderBytes: 4 << 10, BodyTimeout: 100 * time.Millisecond, MaxConns: 50,
	}}, engine("e1", target(t, func(http.ResponseWriter, *http.Request) { t.Error("a target was reached") })))
	post := func(body string, header ...string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n" +
			strings.Join(append(header, ""), "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	get := func(path, header string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + header + "\r\n"
	}
	tests := []struct {
		name, request string
		status        int
		code          string
	}{
		{"malformed JSON", post(`{"model":`), 400, "malformed"},
		{"no model", post(`{"messages":[{"role":"user"}]}`), 400, "malformed"},
		{"no messages", post(`{"model":"m"}`), 400, "malformed"},
		{"no tokens", post(`{"model":"m","max_tokens":0,"messages":[{}]}`), 400, "malformed"},
		{"priority", post(plainChat, "X-Priority: urgent"), 400, "bad-priority"},
		{"timeout", post(plainChat, "X-Timeout-Ms: soon"), 400, "bad-timeout"},
		{"chat id", post(plainChat, "X-Chat-Id: "+strings.Repeat("c", 129)), 400, "bad-chat-id"},
		{"unreadable chat id", post(plainChat, "X-Chat-Id: \xff\xfe"), 400, "bad-chat-id"},
		{"unreadable key", "POST /v1/services/lab/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nIdempotency-Key: \xff\r\nContent-Length: 0\r\n\r\n", 400, "bad-key"},
		{"body too large", post(strings.Repeat("x", 101)), 413, "body-too-large"},
		{"no key before the body", "POST /v1/services/lab/ HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nslow", 401, "no-key"},
		{"chunks too large", "POST /v1/services/lab/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413, "body-too-large"},
		{"slow body", "POST /v1/services/lab/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 9\r\n\r\nslow", 408, "slow-body"},
		{"old HTTP", "GET /v1/services/lab/ HTTP/1.0\r\n\r\n", 505, "http-version"},
		{"dot segments", get("/v1/services/lab/a/%2E./b", ""), 400, "bad-path"},
		{"no service", get("/v1/services/", ""), 404, "not-found"},
		{"two keys", "POST /v1/services/lab/ HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", 400, "bad-key"},
		{"empty key", "POST /v1/services/lab/ HTTP/1.1\r\nHost: x\r\nIdempotency-Key:\r\nContent-Length: 0\r\n\r\n", 400, "bad-key"},
		{"trace", "TRACE /v1/services/lab/ HTTP/1.1\r\nHost: x\r\n\r\n", 405, "bad-method"},
		{"no key", get("/v1/services/lab/", ""), 401, "no-key"},
		{"other scheme", get("/v1/models", "Authorization: Basic "+testKey+"\r\n"), 401, "no-key"},
		{"unknown key", get("/v1/models", "Authorization: Bearer x\r\n"), 401, "unknown-key"},
		{"method", get("/v1/chat/completions", ""), 405, "method-not-allowed"},
		{"path", get("/v2", ""), 404, "not-found"},
		{"header too large", get("/v2", "X-Long: "+strings.Repeat("x", 16<<10)+"\r\n"), 431, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, test.request)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != test.status || !strings.Contains(string(body), test.code) {
				t.Errorf("status %d: %s", resp.StatusCode, body)
			}
			if test.code != "" && resp.Header.Get(headerOutcome) != "not-run" {
				t.Errorf("outcome %q", resp.Header.Get(headerOutcome))
			}
		})
	}
}

// TestTooManyConnections checks that callers over the connection limit are
// refused with Retry-After, and served once a connection closes.
func TestTooManyConnections(t *testing.T) {
	h := newHarnessWithConfig(t, Config{Bounds: Bounds{MaxConns: 1}}, engine("e1", target(t, chatEngine)))
	first, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(first, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	resp, body, err := h.do(t, "POST", "/v1/chat/completions", plainChat)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get(headerRetryAfter) == "" || !strings.Contains(body, "connections-full") {
		t.Errorf("%v %v %s", resp, err, body)
	}
	first.Close()
	for range 1000 {
		if resp, _, err = h.do(t, "POST", "/v1/chat/completions", plainChat); err == nil && resp.StatusCode == 200 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("still refused: %v %v", resp, err)
}

// TestBodiesHeld checks that the body budget counts the memory of chunked bodies until
// their requests end, and not a reservation made for their undeclared length. It guards
// against requests that are refused although there is memory for them, and against ones that
// are accepted although there is none.
func TestBodiesHeld(t *testing.T) {
	const limit, buffer = 64 << 10, 4 << 10
	h := newHarnessWithConfig(t, Config{Bounds: Bounds{MaxBodyBytes: limit, Bodies: bodybuffer.Limits{Bytes: 2 * limit, Unfinished: 10}}}, service("s1", target(t, func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		<-req.Context().Done()
	})))
	const head = "POST /v1/services/lab/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	held := int64(0)
	hold := func(request string, more int64) {
		t.Helper()
		c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, request)
		held += more
		for wait := 0; h.router.bodies.Held() != held; wait++ {
			if wait > 5000 {
				t.Fatalf("%d bytes count as held, want %d", h.router.bodies.Held(), held)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for range 3 {
		hold(head+"Transfer-Encoding: chunked\r\n\r\n5\r\nsteel\r\n0\r\n\r\n", buffer)
	}
	const large = 56 << 10
	hold(head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", large, strings.Repeat("x", large)), large)
	if resp, body, _ := h.do(t, "POST", "/v1/services/lab/", strings.Repeat("x", limit)); resp.StatusCode != 503 || !strings.Contains(body, "bodies-full") {
		t.Errorf("beyond the bound: %v %s", resp, body)
	}
}

// TestSilentConnection checks that a request is retried on a new connection to
// the same target when a kept-alive connection carries no more data.
func TestSilentConnection(t *testing.T) {
	for _, k := range []requestKind{lookup, stream} {
		tc := newTestClusterWithTimeout(t, k, atLimits, fault{inject: func(tc *testCluster) { tc.first.silenceConns() }}, time.Second)
		tc.connect(true).Close()
		tc.armed.Store(true)
		r := tc.send(tc.first, k, "order")
		runs, _ := tc.targets[0].counts("order", "")
		if r.status != 200 || r.cut || runs != 1 {
			t.Errorf("%s: %s, %d runs at the target", k, r, runs)
		}
	}
}

// TestSlowCallers checks that callers are disconnected if they send their header
// too slowly or do not read the responses.
func TestSlowCallers(t *testing.T) {
	const bound = 200 * time.Millisecond
	h := newHarnessWithConfig(t, Config{Bounds: Bounds{HeaderTimeout: bound, WriteTimeout: bound}}, engine("e1", target(t, chatEngine)))
	for name, request := range map[string]string{
		"header":  "GET /healthz HTTP/1.1\r\n",
		"answers": strings.Repeat("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 1000),
		"errors":  strings.Repeat("GET /v2 HTTP/1.1\r\nHost: x\r\n\r\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			if name == "header" {
				io.WriteString(c, request)
				_, err = c.Read(make([]byte, 1))
			}
			for err == nil {
				_, err = io.WriteString(c, request)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("still connected")
			}
		})
	}
}
