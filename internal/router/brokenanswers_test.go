package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// brokenHeads holds, by name, the status line and the first fields of responses that are not
// answers of a target.
var brokenHeads = map[string]string{
	"status 000": "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n",
	"status 099": "HTTP/1.1 099 Trouble\r\nContent-Length: 5\r\n",
	"status 600": "HTTP/1.1 600 Trouble\r\nContent-Length: 5\r\n",

	"blank in a name":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Trouble: 1\r\n",
	"blank after a length":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length : 2\r\n",
	"blank before a name":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-First: 1\r\n X-Trouble: 1\r\n",
	"tab in a name":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\tTrouble: 1\r\n",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\x01Trouble: 1\r\n",
	"line feed before a length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\nContent-Length: 2\r\n",
}

// beginRaw writes a response as it is and returns the connection, nil after an error. head holds
// the status line and the first fields; the field with the request's id follows.
func beginRaw(t *testing.T, w http.ResponseWriter, req *http.Request, head, body string) *net.TCPConn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return nil
	}
	if _, err := fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", head, headerRequestID, req.Header.Get(headerRequestID), body); err != nil {
		t.Error(err)
	}
	return conn.(*net.TCPConn)
}

// writeRaw reads the request, writes a response as it is and closes the connection.
func writeRaw(t *testing.T, w http.ResponseWriter, req *http.Request, head, body string) {
	_, _ = io.Copy(io.Discard, req.Body)
	if conn := beginRaw(t, w, req, head, body); conn != nil {
		conn.Close()
	}
}

// resetEarly answers at once, with a response without a length, sends a part of its body, and
// resets the connection while the request is still being written.
func resetEarly(t *testing.T, w http.ResponseWriter, req *http.Request) {
	conn := beginRaw(t, w, req, "HTTP/1.1 200 OK\r\n", "part")
	if conn == nil {
		return
	}
	time.Sleep(10 * time.Millisecond)
	_ = conn.SetLinger(0)
	conn.Close()
}

// kindOfRequest is one kind of request; key is its idempotency key, empty for none.
type kindOfRequest struct {
	method, path, body, key string
	// repeated is set if the request is sent a second time after its first answer.
	repeated bool
}

// brokenKinds are requests of each kind, by the kind.
var brokenKinds = map[string]kindOfRequest{
	"chat":            {http.MethodPost, "/v1/chat/completions", plainChat, "", false},
	"stream":          {http.MethodPost, "/v1/chat/completions", streamChat, "", false},
	"lookup":          {http.MethodGet, "/v1/services/lab/lookup", "", "", false},
	"unkeyed":         {http.MethodPost, "/v1/services/lab/book", "steel", "", false},
	"keyed":           {http.MethodPost, "/v1/services/lab/book", "steel", "key", false},
	"keyed, repeated": {http.MethodPost, "/v1/services/lab/book", "steel", "key", true},
}

// maxErrorStatus is the largest status of an error.
const maxErrorStatus = 599

// checkUnknownOutcome checks that a request to h gets an error with the outcome unknown.
func (k kindOfRequest) checkUnknownOutcome(t *testing.T, h *harness) {
	t.Helper()
	var header []string
	if k.key != "" {
		header = []string{"Idempotency-Key", k.key}
	}
	if k.repeated {
		_, _, _ = h.do(t, k.method, k.path, k.body, header...)
	}
	resp, got, err := h.do(t, k.method, k.path, k.body, header...)
	if err != nil || resp.StatusCode < http.StatusBadRequest || resp.StatusCode > maxErrorStatus || resp.Header.Get(headerOutcome) != "unknown" {
		t.Errorf("%v %q, error %v, want an error with the outcome unknown", resp, got, err)
	}
}

// TestBrokenHeads guards against a response whose head is broken and that reaches the caller as
// an answer, and against a caller whose connection ends without a status because of one.
func TestBrokenHeads(t *testing.T) {
	for name, kind := range brokenKinds {
		for fault, head := range brokenHeads {
			t.Run(name+"/"+fault, func(t *testing.T) {
				addr := target(t, func(w http.ResponseWriter, req *http.Request) { writeRaw(t, w, req, head, "whole") })
				kind.checkUnknownOutcome(t, newHarness(t, engine("e1", addr), service("s1", addr)))
			})
		}
	}
}

// TestResetsDuringUploads guards against a part of an answer that reaches the caller as a complete
// one: the target reset the connection while the request was still being written.
func TestResetsDuringUploads(t *testing.T) {
	const uploadBytes, uploads = 12 << 20, 4
	long := strings.Repeat("x", uploadBytes)
	for name, kind := range brokenKinds {
		t.Run(name, func(t *testing.T) {
			addr := target(t, func(w http.ResponseWriter, req *http.Request) { resetEarly(t, w, req) })
			h := newHarnessWithConfig(t, Config{Bounds: Bounds{MaxBodyBytes: 2 * uploadBytes}}, engine("e1", addr), service("s1", addr))
			upload := kind
			upload.body = strings.Replace(kind.body, "hi", long, 1)
			if len(upload.body) < uploadBytes {
				upload.body = long
			}
			for i := range uploads {
				if kind.key != "" {
					upload.key = fmt.Sprint(kind.key, i)
				}
				upload.checkUnknownOutcome(t, h)
			}
		})
	}
}

// TestBrokenTrailer checks that a trailer whose name holds a blank does not reach the caller, and
// that the others do.
func TestBrokenTrailer(t *testing.T) {
	addr := target(t, func(w http.ResponseWriter, req *http.Request) {
		writeRaw(t, w, req, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X Trouble, X-Sound\r\n",
			"5\r\nwhole\r\n0\r\nX-Sound: 1\r\nX Trouble: 1\r\nX-Trouble : 1\r\n\r\n")
	})
	h := newHarness(t, service("s1", addr))
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /v1/services/lab/x HTTP/1.1\r\nHost: x\r\nTE: trailers\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", testKey)
	answer, err := io.ReadAll(conn)
	if text := string(answer); err != nil || !strings.HasSuffix(text, "5\r\nwhole\r\n0\r\nX-Sound: 1\r\n\r\n") || strings.Contains(text, "Trouble") {
		t.Errorf("%q, error %v", text, err)
	}
}

// TestAnswersWithoutBody guards against a caller's connection that ends without a status because
// a target sent the head of its answer and not one byte of the body.
func TestAnswersWithoutBody(t *testing.T) {
	heads := map[string]string{
		"length":    "Content-Length: 40\r\n",
		"chunks":    "Transfer-Encoding: chunked\r\n",
		"events":    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
		"no length": "",
	}
	ends := map[string]func(conn *net.TCPConn){
		"reset":        func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"close":        func(*net.TCPConn) {},
		"broken chunk": func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "no chunk\r\n") },
	}
	for name, kind := range brokenKinds {
		for headName, head := range heads {
			for endName, end := range ends {
				if endName == "broken chunk" && !strings.Contains(head, "chunked") {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%s", name, headName, endName), func(t *testing.T) {
					addr := target(t, func(w http.ResponseWriter, req *http.Request) {
						_, _ = io.Copy(io.Discard, req.Body)
						conn := beginRaw(t, w, req, "HTTP/1.1 200 OK\r\n"+head, "")
						if conn == nil {
							return
						}
						defer conn.Close()
						// The head arrives on its own.
						time.Sleep(20 * time.Millisecond)
						end(conn)
					})
					kind.checkUnknownOutcome(t, newHarness(t, engine("e1", addr), service("s1", addr)))
				})
			}
		}
	}
}
