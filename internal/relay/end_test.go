package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// TestGuardEnd guards against an answer that ends early and that its caller takes for a
// complete one, since its connection closes in order. It covers each way in which a process
// that lives on ends a connection.
func TestGuardEnd(t *testing.T) {
	const half, rest = "first half, ", "second half"
	abort := func(*httptest.Server, http.ResponseWriter) { panic(http.ErrAbortHandler) }
	for name, c := range map[string]struct {
		proto   string
		unmark  bool
		length  int64
		end     func(*httptest.Server, http.ResponseWriter)
		partial bool
	}{
		"whole, unframed":                 {proto: "1.1", unmark: true, length: -1},
		"whole, chunks":                   {proto: "1.1", length: -1},
		"whole, unframed, HTTP/1.0":       {proto: "1.0", unmark: true, length: -1},
		"whole, unknown length, HTTP/1.0": {proto: "1.0", length: -1},
		"whole, length, HTTP/1.0":         {proto: "1.0", length: int64(len(half + rest))},
		"abort, unframed":                 {proto: "1.1", unmark: true, length: -1, end: abort, partial: true},
		"abort, chunks":                   {proto: "1.1", length: -1, end: abort, partial: true},
		"abort, HTTP/1.0":                 {proto: "1.0", length: -1, end: abort, partial: true},
		"abort, length, HTTP/1.0":         {proto: "1.0", length: int64(len(half + rest)), end: abort, partial: true},
		"panic, unframed":                 {proto: "1.1", unmark: true, length: -1, end: func(*httptest.Server, http.ResponseWriter) { panic("no answer") }, partial: true},
		"server closed, unframed": {proto: "1.1", unmark: true, length: -1, partial: true, end: func(s *httptest.Server, _ http.ResponseWriter) {
			s.Config.Close()
			panic(http.ErrAbortHandler)
		}},
		"server closed, HTTP/1.0": {proto: "1.0", length: -1, partial: true, end: func(s *httptest.Server, _ http.ResponseWriter) {
			s.Config.Close()
			panic(http.ErrAbortHandler)
		}},
		"write timeout, unframed": {proto: "1.1", unmark: true, length: -1, partial: true, end: func(_ *httptest.Server, w http.ResponseWriter) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var server *httptest.Server
			server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				SetHeader(w.Header(), &filter.Answer{Status: http.StatusOK, Length: c.length})
				if c.unmark {
					SetUnframed(w.Header())
				}
				end, err := GuardEnd(req, w.Header())
				if err != nil {
					t.Error(err)
				}
				fmt.Fprint(w, half)
				_ = http.NewResponseController(w).Flush()
				if c.end != nil {
					c.end(server, w)
				}
				if _, err = (Body{Source: strings.NewReader(rest)}).Copy(w); err == nil {
					err = end.Confirm(w)
				}
				if (err == nil) == c.partial {
					t.Errorf("error %v, partial %t", err, c.partial)
				}
			}))
			server.Config.ConnContext = WithConn
			server.Config.ErrorLog = nil
			server.Start()
			defer server.Close()
			body, err := readAnswer(server.Listener.Addr().String(), c.proto)
			if (err != nil) != c.partial {
				t.Errorf("the caller read %q with error %v; partial: %t", body, err, c.partial)
			}
			if !c.partial && body != half+rest {
				t.Errorf("the caller read %q", body)
			}
			if c.partial && c.length < 0 && (c.unmark || c.proto == "1.0") && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection ended with %v, want a reset", err)
			}
		})
	}
}

// readAnswer sends a request of this HTTP version and returns the body of the answer. It fails
// if the answer is not complete.
func readAnswer(addr, version string) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: a.example\r\n\r\n", version)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestGuardEndWithoutConnection checks that an answer which can't be guarded is reported: a
// server without WithConn would end it in order.
func TestGuardEndWithoutConnection(t *testing.T) {
	h := http.Header{}
	SetUnframed(h)
	if _, err := GuardEnd(httptest.NewRequest(http.MethodGet, "/", nil), h); !errors.Is(err, errNoLinger) {
		t.Errorf("error %v, want %v", err, errNoLinger)
	}
}
