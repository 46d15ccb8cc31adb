package idle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestRequestAtTheEndOfAWait guards against a request that is served on a connection which was
// closed as idle: the wait ends after the server has read the header and before it reports the
// connection as active, so the request is passed on and its caller gets no answer.
func TestRequestAtTheEndOfAWait(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for name, c := range map[string]struct {
		earlier int
		body    string
	}{
		"first request":               {0, ""},
		"first request with a body":   {0, "body"},
		"further request":             {1, ""},
		"further request with a body": {2, "body"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			monitor := NewMonitor(func() Timeouts { return Timeouts{First: timeout, Next: timeout} })
			var active, left atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				body, err := io.ReadAll(req.Body)
				if err != nil {
					t.Errorf("reading the body: %v", err)
				}
				// The answer takes longer than a wait, so that a timer that still runs is noticed.
				select {
				case <-req.Context().Done():
					left.Add(1)
				case <-time.After(2 * timeout):
				}
				fmt.Fprintf(w, "answer to %q", body)
			}))
			server.Config.ReadHeaderTimeout = time.Minute
			server.Config.IdleTimeout = time.Minute
			server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
				if state == http.StateActive && active.Add(1) == int64(c.earlier+1) {
					time.Sleep(2 * timeout)
				}
				monitor.StateChanged(conn, state)
			}
			server.Listener = monitor.Listener(server.Listener.(*net.TCPListener), 0)
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for i := range c.earlier + 2 {
				fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("request %d of %d was served and not answered: %v", i+1, c.earlier+2, err)
				}
				body, err := io.ReadAll(resp.Body)
				if want := fmt.Sprintf("answer to %q", c.body); err != nil || string(body) != want {
					t.Errorf("request %d: body %q, error %v, want %q", i+1, body, err, want)
				}
			}
			if left.Load() > 0 {
				t.Error("the server took a caller that waits for one that has left")
			}
			// A connection without a further request is still closed.
			_ = conn.SetReadDeadline(time.Now().Add(10 * timeout))
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("the idle connection ended with %v, want %v", err, io.EOF)
			}
		})
	}
}
