package forward

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
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
