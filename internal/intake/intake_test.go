package intake

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakeConn stands for a connection.
type fakeConn struct {
	net.Conn
	since time.Duration
	left  time.Duration
}

// TestReturnOfManyTargets replays the return of a fleet of 3,000 targets as one of nine
// replicas sees it: 340 targets wait for an answer, each gives up after a second and
// comes again on a new connection, an answer takes 3.6 ms of the processor, which all
// that are served share, and a target that was answered goes elsewhere. All are
// answered within five seconds, of the twelve after which the fleet must serve again.
func TestReturnOfManyTargets(t *testing.T) {
	const (
		targets = 340
		work    = 3600 * time.Microsecond
		giveUp  = time.Second
		bound   = 5 * time.Second
		tick    = time.Millisecond
	)
	start := time.Unix(1000, 0)
	line := queue{maxWait: maxWait, maxConns: maxWaiting}
	asking := make(map[*fakeConn]bool)
	served := make(map[*fakeConn]bool)
	ask := func(now time.Duration) {
		conn := &fakeConn{since: now, left: work}
		asking[conn] = true
		line.push(start.Add(now), conn)
	}
	for i := range targets {
		ask(time.Duration(i) * tick / 2)
	}
	now := time.Duration(0)
	for ; len(asking) > 0 && now < bound; now += tick {
		for len(served) < maxServed {
			conn, _ := line.pop(start.Add(now))
			if conn == nil {
				break
			}
			served[conn.(*fakeConn)] = true
		}
		share := tick / time.Duration(max(1, len(served)))
		for conn := range served {
			if conn.left -= share; conn.left <= 0 {
				delete(served, conn)
				delete(asking, conn)
			}
		}
		for conn := range asking {
			if now-conn.since >= giveUp {
				// The server doesn't see that its caller has left.
				delete(asking, conn)
				ask(now)
			}
		}
	}
	if len(asking) > 0 {
		t.Errorf("%d of %d targets were not answered within %v", len(asking), targets, now)
	}
}

func TestQueue(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b, c := &fakeConn{}, &fakeConn{}, &fakeConn{}
	q := queue{maxWait: time.Second, maxConns: 2}
	q.push(start, a)
	q.push(start.Add(600*time.Millisecond), b)
	if dropped := q.push(start.Add(700*time.Millisecond), c); dropped != a {
		t.Errorf("%v was dropped for the third, want the oldest", dropped)
	}
	if newest, stale := q.pop(start.Add(700 * time.Millisecond)); newest != c || len(stale) > 0 {
		t.Errorf("popped %v, stale %v, want the newest", newest, stale)
	}
	if newest, stale := q.pop(start.Add(3 * time.Second)); newest != nil || len(stale) != 1 || stale[0] != b {
		t.Errorf("popped %v, stale %v, want one stale", newest, stale)
	}
}

// startServer serves handler behind an intake.
func startServer(t *testing.T, handler http.HandlerFunc) (url string) {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(plain)
	server := &http.Server{Handler: handler, ConnState: l.StateChanged}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the server ended with %v", err)
		}
	})
	return "http://" + plain.Addr().String()
}

func get(url string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// TestFewAreServedAtOnce has many callers come at the same time: all are answered in
// the end, and never more than maxServed are served side by side.
func TestFewAreServedAtOnce(t *testing.T) {
	var now, most atomic.Int64
	url := startServer(t, func(http.ResponseWriter, *http.Request) {
		n := now.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(10 * time.Millisecond)
		now.Add(-1)
	})
	var callers sync.WaitGroup
	for range 4 * maxServed {
		callers.Go(func() {
			if err := get(url); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	if most.Load() > maxServed {
		t.Errorf("%d were served at once, want %d at most", most.Load(), maxServed)
	}
}

// TestQuietConnectionsHoldNoPlace opens more connections than are served at once and
// sends nothing on them: another caller is still answered.
func TestQuietConnectionsHoldNoPlace(t *testing.T) {
	url := startServer(t, func(http.ResponseWriter, *http.Request) {})
	for range 2 * maxServed {
		conn, err := net.Dial("tcp", url[len("http://"):])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	began := time.Now()
	if err := get(url); err != nil || time.Since(began) > 10*quietTime {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}
