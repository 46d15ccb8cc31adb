package idle

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// watchedPair returns a connection that m can watch and the caller's end of it.
func watchedPair(t *testing.T, m *Monitor) (server, caller net.Conn) {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if caller, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = m.Listener(ln, 0).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		caller.Close()
		server.Close()
	})
	return server, caller
}

// readText reads once.
func readText(c net.Conn) (string, error) {
	buf := make([]byte, 100)
	n, err := c.Read(buf)
	return string(buf[:n]), err
}

// TestArrivedBeforeTimeout guards against a request that arrives in time and whose connection is
// closed because the server is too busy to read or to begin it until after the timeout.
func TestArrivedBeforeTimeout(t *testing.T) {
	const timeout, late = 30 * time.Millisecond, 90 * time.Millisecond
	m := NewMonitor(func() Timeouts { return Timeouts{First: timeout, Next: timeout} })
	for name, begin := range map[string]http.ConnState{"first request": http.StateNew, "further request": http.StateIdle} {
		t.Run(name+", not read", func(t *testing.T) {
			server, caller := watchedPair(t, m)
			m.StateChanged(server, begin)
			fmt.Fprint(caller, "request")
			time.Sleep(late)
			if text, err := readText(server); err != nil || text != "request" {
				t.Errorf("%q, %v, want the request", text, err)
			}
		})
		t.Run(name+", read, not begun", func(t *testing.T) {
			server, caller := watchedPair(t, m)
			m.StateChanged(server, begin)
			fmt.Fprint(caller, "request")
			if text, err := readText(server); err != nil || text != "request" {
				t.Fatalf("%q, %v, want the request", text, err)
			}
			time.Sleep(late)
			m.StateChanged(server, http.StateActive)
			fmt.Fprint(caller, "body")
			if text, err := readText(server); err != nil || text != "body" {
				t.Errorf("%q, %v, want the body", text, err)
			}
		})
		t.Run(name+", nothing arrives", func(t *testing.T) {
			server, _ := watchedPair(t, m)
			m.StateChanged(server, begin)
			// A deadline that the server sets after the timeout must not keep the connection open.
			time.Sleep(late)
			if err := server.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			stop := time.AfterFunc(time.Second, func() { server.Close() })
			defer stop.Stop()
			if text, err := readText(server); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%q, %v after %v, want a timeout at once", text, err, time.Since(began))
			}
		})
	}
}

// TestTimeoutsOfServer checks which connections of a server are closed. The header of a request
// that begins before the idle timeout has the time for headers.
func TestTimeoutsOfServer(t *testing.T) {
	const header, next = 400 * time.Millisecond, 200 * time.Millisecond
	m := NewMonitor(func() Timeouts { return Timeouts{First: header, Next: next} })
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: m.StateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * header)
		fmt.Fprint(w, "answer")
	})}
	go server.Serve(m.Listener(ln, 0))
	t.Cleanup(func() {
		server.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		for c := range m.waits {
			m.endWait(c)
		}
	})
	for name, c := range map[string]struct {
		// before is the pause before the second request, inside the one in its header.
		before, inside time.Duration
		closed         bool
	}{
		"at once":                            {},
		"within the idle timeout":            {before: next / 2},
		"header ends after the idle timeout": {before: next / 2, inside: 3 * next / 2},
		"idle too long":                      {before: 3 * next, closed: true},
		"header too slow":                    {inside: 2 * header, closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			reader := bufio.NewReader(caller)
			answer := func() error {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				return err
			}
			const head, end = "GET / HTTP/1.1\r\nHost: a.example\r\n", "\r\n"
			fmt.Fprint(caller, head+end)
			if err := answer(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(c.before)
			fmt.Fprint(caller, head)
			time.Sleep(c.inside)
			fmt.Fprint(caller, end)
			if err := answer(); (err != nil) != c.closed {
				t.Errorf("%v, want closed: %t", err, c.closed)
			}
		})
	}
}

// TestMaxConnections guards against more open connections than the limit, and against a slot that
// is lost or freed twice: the next connection is accepted only when another one closes.
func TestMaxConnections(t *testing.T) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	limited := NewMonitor(func() Timeouts { return Timeouts{} }).Listener(ln, 1)
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		caller, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted beside the first")
	case <-time.After(50 * time.Millisecond):
	}
	first.Close()
	first.Close()
	<-accepted
	select {
	case <-accepted:
		t.Fatal("a third connection was accepted beside the second")
	case <-time.After(50 * time.Millisecond):
	}
	limited.Close()
	if _, open := <-accepted; open {
		t.Error("a connection was accepted after Close")
	}
}
