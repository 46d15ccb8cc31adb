package router

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// pipeListener is a listener in memory, so that a test's time can be its own.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

const (
	drainUnlistDelay = 2 * time.Second
	drainEntryTTL    = 8 * time.Second
	// longRequestTime is how long the stand-in works on long requests.
	longRequestTime = 20 * time.Second
)

// drainFixture is a router before one target, all in memory.
type drainFixture struct {
	t       *testing.T
	router  *Router
	callers *pipeListener
	ledger  *fakeLedger
	runs    atomic.Int64
	listed  atomic.Bool
}

// slowTarget takes its time, and sends its answer in pieces.
func (d *drainFixture) slowTarget(w http.ResponseWriter, req *http.Request) {
	io.Copy(io.Discard, req.Body)
	d.runs.Add(1)
	if strings.HasPrefix(req.URL.Path, "/short") {
		io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 10 {
		time.Sleep(longRequestTime / 10)
		fmt.Fprintf(w, "data: %d\n\n", i)
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

func newDrainFixture(t *testing.T) *drainFixture {
	d := &drainFixture{t: t, callers: newPipeListener(), ledger: &fakeLedger{}}
	d.listed.Store(true)
	targets := newPipeListener()
	server := &http.Server{Handler: http.HandlerFunc(d.slowTarget)}
	go server.Serve(targets)
	sum := sha256.Sum256([]byte(testKey))
	target := service("t0", "target")
	target.Models = []string{"m"}
	fleet := &fakeFleet{
		targets:   []*pb.TargetStatus{target},
		contracts: []*pb.Contract{{Customer: "acme", KeyHashes: [][]byte{sum[:]}}},
	}
	r, err := New(Config{
		View: fleet, Config: fleet, Ledger: d.ledger, Scheduler: fleet, Limiter: fleet,
		SetDraining: func() { d.listed.Store(false) },
		EntryTTL:    drainEntryTTL, UnlistDelay: drainUnlistDelay,
		Forward: forward.Config{Dial: targets.dial},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.router = r
	go r.Serve(d.callers)
	t.Cleanup(func() { r.Abort(); server.Close() })
	return d
}

// drainLoad is one kind of work that meets a shutdown.
type drainLoad struct {
	name    string
	request string
	// callerLeaves tells that the caller goes away at once.
	callerLeaves bool
	// idle tells that the connection was used and kept before the shutdown.
	idle bool
	long bool
}

func drainRequest(method, path, extra, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, testKey, extra, len(body), body)
}

var drainLoads = []drainLoad{
	{name: "short", request: drainRequest("GET", "/v1/services/lab/short", "", "")},
	{name: "idle-kept", request: drainRequest("GET", "/v1/services/lab/short", "", ""), idle: true},
	{name: "long", request: drainRequest("POST", "/v1/services/lab/long", "X-Priority: draft\r\n", "x"), long: true},
	{name: "streamed", request: drainRequest("POST", "/v1/chat/completions", "", streamChat), long: true},
	{name: "claimed", request: drainRequest("POST", "/v1/services/lab/long", "X-Priority: draft\r\nIdempotency-Key: k\r\n", "x"), long: true},
	{name: "claimed-left", request: drainRequest("POST", "/v1/services/lab/long", "X-Priority: draft\r\nIdempotency-Key: k\r\n", "x"), long: true, callerLeaves: true},
}

// TestDrainTable starts each load at each time around a shutdown: none is cut
// off or refused while an address may still be kept.
func TestDrainTable(t *testing.T) {
	const before = time.Second
	for _, l := range drainLoads {
		for _, after := range []time.Duration{-before, 0, time.Millisecond, drainUnlistDelay, drainUnlistDelay + drainEntryTTL - time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", l.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDrainFixture(t)
					done := make(chan error, 1)
					conn := d.connect(l.idle)
					go func() {
						time.Sleep(before + after)
						done <- d.send(conn, l, after > 0)
					}()
					time.Sleep(before)
					if err := d.router.Drain(context.Background()); err != nil {
						t.Error(err)
					}
					synctest.Wait()
					select {
					case err := <-done:
						if err != nil {
							t.Error(err)
						}
					default:
						t.Error("the shutdown ended before the request")
					}
					d.checkDrained(l)
				})
			})
		}
	}
}

// connect opens a connection now if the load keeps one.
func (d *drainFixture) connect(idle bool) net.Conn {
	if !idle {
		return nil
	}
	c, err := d.callers.dial(context.Background(), "", "")
	if err != nil {
		d.t.Fatal(err)
	}
	io.WriteString(c, drainLoads[0].request)
	if _, err := readCompleteAnswer(c); err != nil {
		d.t.Fatal(err)
	}
	return c
}

// readCompleteAnswer reads one answer and fails if it isn't a whole 200.
func readCompleteAnswer(c net.Conn) (*http.Response, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return resp, err
}

// send sends the load's request and reads its answer.
func (d *drainFixture) send(c net.Conn, l drainLoad, draining bool) error {
	if c == nil {
		var err error
		if c, err = d.callers.dial(context.Background(), "", ""); err != nil {
			return err
		}
	}
	defer c.Close()
	if _, err := io.WriteString(c, l.request); err != nil {
		return err
	}
	if l.callerLeaves {
		time.Sleep(time.Second)
		return nil
	}
	resp, err := readCompleteAnswer(c)
	if err != nil {
		return err
	}
	if draining && !resp.Close {
		return fmt.Errorf("the answer doesn't ask to close the connection")
	}
	return nil
}

// checkDrained checks what a finished shutdown leaves.
func (d *drainFixture) checkDrained(l drainLoad) {
	if d.listed.Load() {
		d.t.Error("still listed")
	}
	if _, err := d.callers.dial(context.Background(), "", ""); err == nil {
		d.t.Error("still accepting")
	}
	if n := d.router.InFlight(); n != 0 {
		d.t.Errorf("%d in flight", n)
	}
	if !strings.HasPrefix(l.name, "claimed") {
		return
	}
	if got := d.ledger.ended["k"].GetOutcome(); got != pb.ClaimOutcome_CLAIM_OUTCOME_DONE || d.runs.Load() != 1 {
		d.t.Errorf("claim ended %v after %d runs", got, d.runs.Load())
	}
}
