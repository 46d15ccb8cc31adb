package forward

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// lateTransport responds as soon as the request was cancelled, or at once if that is false. The
// body can't be read after the request was cancelled.
type lateTransport struct {
	cancelled bool
	body      *contextBody
}

func (l *lateTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if l.cancelled {
		<-req.Context().Done()
	}
	l.body = &contextBody{req: req, rest: strings.NewReader("answer")}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{HeaderRequestID: {"x"}}, ContentLength: 6, Body: l.body}, nil
}

type contextBody struct {
	req    *http.Request
	rest   io.Reader
	closed bool
}

func (b *contextBody) Read(p []byte) (int, error) {
	if err := b.req.Context().Err(); err != nil {
		return 0, err
	}
	return b.rest.Read(p)
}

func (b *contextBody) Close() error {
	b.closed = true
	return nil
}

// TestResponseAtTheEndOfAWait guards against a response that is accepted although its wait has
// just been ended: net/http prefers a response that is there when the request is cancelled, and
// the body of that response is cut.
func TestResponseAtTheEndOfAWait(t *testing.T) {
	for name, late := range map[string]bool{"in time": false, "as the wait ends": true} {
		t.Run(name, func(t *testing.T) {
			c := New(Config{})
			defer c.Close()
			transport := &lateTransport{cancelled: late}
			c.singleUse.RegisterProtocol("http", transport)
			resp, err := c.Do(t.Context(), &Request{
				Target: "t", Addr: "127.0.0.1:1", Method: http.MethodGet, URI: "/", RequestID: "x", FirstByte: 20 * time.Millisecond,
			})
			if late {
				if !errors.Is(err, ErrSilent) || !transport.body.closed {
					t.Errorf("response %+v, error %v, want %v; body closed: %t", resp, err, ErrSilent, transport.body.closed)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			if body, err := io.ReadAll(resp); string(body) != "answer" || err != nil {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestLateTimerOfAWait guards against a wait that is ended at its start: the timer of the wait
// before it has fired, and its function runs only after the next wait has begun.
func TestLateTimerOfAWait(t *testing.T) {
	for name, more := range map[string]time.Duration{"ended": 0, "extended": time.Minute} {
		t.Run(name, func(t *testing.T) {
			asked, ended := 0, 0
			w := newWatchdog(func() time.Duration {
				asked++
				return more
			}, func() { ended++ })
			w.start(time.Minute)
			w.stop()
			w.start(time.Hour)
			defer w.stop()
			w.expire()
			if asked > 0 || ended > 0 {
				t.Errorf("a wait of an hour was examined %d times and ended %d times at its start", asked, ended)
			}
		})
	}
}

// TestEndOfAWait checks that a wait is examined when its time is over, and again when the time
// by which it was extended is over.
func TestEndOfAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first, extension = 300 * time.Millisecond, 200 * time.Millisecond
		began := time.Now()
		var examined []time.Duration
		var ended time.Duration
		w := newWatchdog(func() time.Duration {
			examined = append(examined, time.Since(began))
			if len(examined) < 3 {
				return extension
			}
			return 0
		}, func() { ended = time.Since(began) })
		w.start(first)
		time.Sleep(time.Minute)
		synctest.Wait()
		w.stop()
		want := []time.Duration{first, first + extension, first + 2*extension}
		if !slices.Equal(examined, want) || ended != want[2] {
			t.Errorf("examined after %v, ended after %v, want %v", examined, ended, want)
		}
	})
}
