package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// restartPiece is the time between two pieces of a response of a targetProcess.
const restartPiece = 50 * time.Millisecond

// targetProcess is one process of a target. Its responses have no framing.
type targetProcess struct {
	ln net.Listener
	// pieces is the number of pieces that a response has.
	pieces int
	// accepted counts the connections.
	accepted atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
	// idle holds the connections that carry no request.
	idle map[net.Conn]bool
}

// startProcess starts a process that listens at addr.
func startProcess(t *testing.T, addr string, pieces int) *targetProcess {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &targetProcess{ln: ln, pieces: pieces, idle: make(map[net.Conn]bool)}
	go p.serve()
	return p
}

func (p *targetProcess) serve() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.idle[conn] = true
		p.mu.Unlock()
		go p.respond(conn)
	}
}

func (p *targetProcess) respond(conn net.Conn) {
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	p.mu.Lock()
	delete(p.idle, conn)
	p.mu.Unlock()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	for i := range p.pieces {
		if i > 0 {
			time.Sleep(restartPiece)
		}
		fmt.Fprintf(conn, "piece %d,", i)
	}
}

// end closes all connections, as the system does for a process that ends.
func (p *targetProcess) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
}

// closeIdle closes the connections that carry no request.
func (p *targetProcess) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.idle {
		conn.Close()
	}
}

// closeBusy closes the connections that carry a request.
func (p *targetProcess) closeBusy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if !p.idle[conn] {
			conn.Close()
		}
	}
}

// TestEndOfARestartedTarget guards against a response that a crash broke off and that is taken
// for a complete one, because its end arrives late, when another process already listens at the
// address; and against a complete response that is taken for broken, or held up.
func TestEndOfARestartedTarget(t *testing.T) {
	t.Parallel()
	const long, short = 12, 1
	heard := func(after time.Duration) func(time.Duration) Life {
		return func(sinceEnd time.Duration) Life {
			if sinceEnd < after {
				return Life{HeardAt: time.Now().Add(-5 * time.Second), Overdue: true}
			}
			return Life{HeardAt: time.Now()}
		}
	}
	replaced := func(after time.Duration) func(time.Duration) Life {
		return func(sinceEnd time.Duration) Life {
			return Life{HeardAt: time.Now().Add(-5 * time.Second), Overdue: true, Replaced: sinceEnd >= after}
		}
	}
	never := 10 * time.Second
	for name, test := range map[string]struct {
		pieces int
		// crash replaces the process at the end of the response; idleClosed closes its idle
		// connections then.
		crash, idleClosed bool
		life              func(sinceEnd time.Duration) Life
		truncated         bool
		// within bounds the time that the end takes; zero means no bound. deadline is the time
		// that the caller has; zero means no limit.
		within, deadline time.Duration
	}{
		"long, lives":                                  {pieces: long, life: heard(0), within: 200 * time.Millisecond},
		"long, lives, overdue":                         {pieces: long, life: heard(never), within: 200 * time.Millisecond},
		"long, replaced":                               {pieces: long, crash: true, life: replaced(500 * time.Millisecond), truncated: true},
		"long, replaced, never heard":                  {pieces: long, crash: true, life: heard(never), truncated: true},
		"long, replaced, leaves":                       {pieces: long, crash: true, life: func(time.Duration) Life { return Life{Leaves: true} }},
		"long, idle connections closed, heard":         {pieces: long, idleClosed: true, life: heard(300 * time.Millisecond)},
		"short, lives":                                 {pieces: short, life: heard(0), within: 200 * time.Millisecond},
		"short, nothing known":                         {pieces: short, within: 200 * time.Millisecond},
		"short, lives, overdue, heard":                 {pieces: short, life: heard(300 * time.Millisecond)},
		"short, lives, overdue, never heard":           {pieces: short, life: heard(never)},
		"short, lives, overdue, little time left":      {pieces: short, life: heard(never), within: 600 * time.Millisecond, deadline: time.Second},
		"short, replaced, known":                       {pieces: short, crash: true, life: replaced(0), truncated: true},
		"short, replaced, overdue, known a bit later":  {pieces: short, crash: true, life: replaced(500 * time.Millisecond), truncated: true},
		"short, replaced, its last heartbeat was late": {pieces: short, crash: true, life: lateHeartbeat, truncated: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcess(t, "127.0.0.1:0", test.pieces)
			addr := p.ln.Addr().String()
			var endedAt atomic.Int64
			c := New(Config{})
			defer c.Close()
			r := request(addr, true, "")
			if test.life != nil {
				r.Life = func() Life { return test.life(time.Since(time.Unix(0, endedAt.Load()))) }
			}
			ctx := t.Context()
			if test.deadline > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, test.deadline)
				defer cancel()
			}
			resp, err := c.Do(ctx, r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			go func() {
				time.Sleep(time.Duration(test.pieces) * restartPiece)
				endedAt.Store(time.Now().UnixNano())
				switch {
				case test.crash:
					p.ln.Close()
					startProcess(t, addr, test.pieces)
					p.end()
				case test.idleClosed:
					p.closeIdle()
					p.closeBusy()
				default:
					p.closeBusy()
				}
			}()
			body, err := io.ReadAll(resp)
			took := time.Since(time.Unix(0, endedAt.Load()))
			if got := strings.Count(string(body), ","); got != test.pieces {
				t.Errorf("%d of %d pieces", got, test.pieces)
			}
			if errors.Is(err, ErrTruncated) != test.truncated || err != nil && !test.truncated {
				t.Errorf("error %v, truncated: %t, want %t", err, errors.Is(err, ErrTruncated), test.truncated)
			}
			if test.within > 0 && took > test.within {
				t.Errorf("the end took %v, want at most %v", took, test.within)
			}
		})
	}
}

// lateHeartbeat is what is known of a target whose last heartbeat was held up together with the
// end of its response, and whose next process announces itself a second later.
func lateHeartbeat(sinceEnd time.Duration) Life {
	life := Life{HeardAt: time.Now().Add(-sinceEnd).Add(-5 * time.Second), Overdue: true, Replaced: sinceEnd > time.Second}
	if sinceEnd > 50*time.Millisecond {
		life.HeardAt = time.Now().Add(-sinceEnd).Add(50 * time.Millisecond)
	}
	return life
}

// TestWitnessesAreShared checks that responses from one target share a witness, and that it is
// closed after the last of them.
func TestWitnessesAreShared(t *testing.T) {
	const responses = 5
	p := startProcess(t, "127.0.0.1:0", 8)
	c := New(Config{})
	defer c.Close()
	var reading sync.WaitGroup
	for range responses {
		reading.Go(func() {
			resp, err := c.Do(context.Background(), request(p.ln.Addr().String(), true, ""))
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Close()
			time.AfterFunc(9*restartPiece, p.closeBusy)
			if _, err := io.ReadAll(resp); err != nil {
				t.Error(err)
			}
		})
	}
	reading.Wait()
	if got := p.accepted.Load(); got != responses+1 {
		t.Errorf("%d connections for %d responses, want one more", got, responses)
	}
	c.witnesses.mu.Lock()
	defer c.witnesses.mu.Unlock()
	if n := len(c.witnesses.byAddr); n > 0 {
		t.Errorf("%d witnesses are kept without a response", n)
	}
}
