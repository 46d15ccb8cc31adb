package bodybuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

func newTestPool(l Limits) *Pool {
	return New(l, &log.Logger{Level: log.PanicLevel}, tally.NoopScope)
}

// TestRead checks that bodies arrive unchanged at sizes around the steps of the buffer, with and
// without an announced size, and that their memory is charged until Release.
func TestRead(t *testing.T) {
	const limit = 3 << 20
	p := newTestPool(Limits{Bytes: 8 << 20, Unfinished: 10})
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, maxStepBytes, 2*maxStepBytes + 1, limit} {
		want := bytes.Repeat([]byte("ab"), size/2+1)[:size]
		for _, announced := range []int64{-1, int64(size)} {
			body, err := p.Read(Source{Reader: iotest.HalfReader(bytes.NewReader(want)), Size: announced, Limit: limit})
			if err != nil || !bytes.Equal(body.Bytes, want) {
				t.Fatalf("%d bytes, announced %d: %d bytes, %v", size, announced, len(body.Bytes), err)
			}
			if held := p.Held(); held != int64(cap(body.Bytes)) || announced >= 0 && held != announced {
				t.Errorf("%d bytes, announced %d: %d are held", size, announced, held)
			}
			body.Release()
			body.Release()
			if p.Held() != 0 {
				t.Errorf("%d bytes are held after the release", p.Held())
			}
		}
	}
}

// stallingReader returns data and then blocks until it is interrupted.
type stallingReader struct {
	data io.Reader
	once sync.Once
	done chan struct{}
}

var errInterrupted = errors.New("interrupted")

func (s *stallingReader) Read(p []byte) (int, error) {
	if n, err := s.data.Read(p); err == nil {
		return n, nil
	}
	<-s.done
	return 0, errInterrupted
}

func (s *stallingReader) interrupt() { s.once.Do(func() { close(s.done) }) }

// TestCrowdOfStalledBodies lets a hundred bodies stall short of their end. It guards against a
// budget that stays exhausted: the sum must stay within the budget, and a whole body must be
// read while the crowd stalls, of the same owner and of another one.
func TestCrowdOfStalledBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crowd, limit, budget = 100, 1 << 20, 8 << 20
		p := newTestPool(Limits{Bytes: budget, Unfinished: 200})
		var readers []*stallingReader
		var all sync.WaitGroup
		for range crowd {
			r := &stallingReader{data: strings.NewReader(strings.Repeat("x", limit-1)), done: make(chan struct{})}
			readers = append(readers, r)
			all.Go(func() {
				var limited *LimitError
				_, err := p.Read(Source{Owner: "crowd", Reader: r, Size: limit, Limit: limit, Interrupt: r.interrupt})
				if !errors.As(err, &limited) && !errors.Is(err, errInterrupted) {
					t.Errorf("a stalled body: %v", err)
				}
			})
		}
		time.Sleep(time.Second)
		for _, owner := range []string{"crowd", "other"} {
			body, err := p.Read(Source{Owner: owner, Reader: strings.NewReader(strings.Repeat("x", limit)), Size: limit, Limit: limit, Interrupt: func() {}})
			if err != nil {
				t.Errorf("a whole body of %s: %v", owner, err)
				continue
			}
			if held := p.Held(); held > budget {
				t.Errorf("%d bytes are held, over the budget", held)
			}
			body.Release()
		}
		for _, r := range readers {
			r.interrupt()
		}
		all.Wait()
		if p.Held() != 0 {
			t.Errorf("%d bytes are held at the end", p.Held())
		}
	})
}

// TestOrdinaryLoad guards against limits that callers inside the limits of the configuration
// meet: 300 bodies of 72 KB of one team at once, and a body of 4 or 8 MiB beside 100 of them, at
// a router of 136 MB, the smallest of the deployments.
func TestOrdinaryLoad(t *testing.T) {
	const memory, maxFDs, ordinary, large = 136 << 20, 2870, 72 << 10, 8 << 20
	for _, announced := range []bool{true, false} {
		p := newTestPool(LimitsFor(memory, maxFDs))
		read := func(size int) *Body {
			s := Source{Owner: "team", Reader: strings.NewReader(strings.Repeat("x", size)), Size: -1, Limit: large, Interrupt: func() {}}
			if announced {
				s.Size = int64(size)
			}
			body, err := p.Read(s)
			if err != nil {
				t.Errorf("%d bytes, announced %t: %v", size, announced, err)
			}
			return body
		}
		var bodies []*Body
		var mu sync.Mutex
		var all sync.WaitGroup
		for range 300 {
			all.Go(func() {
				body := read(ordinary)
				mu.Lock()
				defer mu.Unlock()
				bodies = append(bodies, body)
			})
		}
		all.Wait()
		if t.Failed() {
			return
		}
		for _, body := range bodies[100:] {
			body.Release()
		}
		for _, size := range []int{4 << 20, large} {
			if body := read(size); body != nil {
				body.Release()
			}
		}
	}
}

// TestLimitsFor checks the limits of small processes, in which the reserved descriptors must not
// leave callers nothing.
func TestLimitsFor(t *testing.T) {
	if l := LimitsFor(128<<20, 300); l != (Limits{Bytes: 128 << 20 / 3, Unfinished: 50, Connections: 75}) {
		t.Errorf("%+v", l)
	}
	if l := LimitsFor(0, 100); l.Bytes != DefaultMemory/3 || l.Unfinished != 12 || l.Connections != 19 {
		t.Errorf("%+v", l)
	}
	if l := LimitsFor(0, 0).ForConnections(1); l.Unfinished != 1 || l.Connections != 0 {
		t.Errorf("%+v", l)
	}
}
