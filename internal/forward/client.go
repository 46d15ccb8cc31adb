package forward

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/errs"
)

// Bounds of the connections to targets.
const (
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is short: a connection that was proven within seconds
	// is rarely silent.
	DefaultIdleTimeout     = 4 * time.Second
	maxIdleConns           = 1024
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
)

// Request is one try of a caller's request at one target.
type Request struct {
	// Target is the target's id; Addr its IP number and port.
	Target string
	Addr   string
	Method string
	// URI is the escaped path with its query.
	URI       string
	Header    http.Header
	Body      []byte
	RequestID string
	// Customer is whom the request is from; targets don't see the bearer key.
	Customer string
	// Chat names the chat to an engine; empty for services.
	Chat string
	// Host replaces Addr in the Host header; empty keeps Addr.
	Host string
	// Extra headers replace those of Header; they go out as they are.
	Extra http.Header
	// Idempotent requests may use kept connections, if the target echoes
	// request ids. Fresh asks for a new connection even so.
	Idempotent    bool
	NewConnection bool
	// FirstByte bounds the wait for the answer's header, BetweenBytes each
	// wait for more of its body.
	FirstByte    time.Duration
	BetweenBytes time.Duration
	// OnSend is called before the first byte can leave.
	OnSend func()
}

// Config sets up a Client; zero values take the defaults.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	// Dialect names the headers of requests and answers; nil means the
	// product's own.
	Dialect *Dialect
	Scope   tally.Scope
}

// Client sends requests to targets.
type Client struct {
	keepAlive *http.Transport
	singleUse *http.Transport
	dialect   *Dialect
	echoCache echoCache
	crossed   tally.Counter
	silent    tally.Counter
	cut       tally.Counter
}

// New makes a client.
func New(c Config) *Client {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.DialTimeout}).DialContext
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Dialect == nil {
		c.Dialect = defaultDialect
	}
	scope := c.Scope.SubScope("forward")
	return &Client{
		keepAlive: newTransport(c, false),
		singleUse: newTransport(c, true),
		dialect:   c.Dialect,
		crossed:   scope.Counter("crossed_answers"),
		silent:    scope.Counter("silent_targets"),
		cut:       scope.Counter("cut_answers"),
	}
}

// newTransport makes a transport that adds nothing of its own to requests and
// answers.
func newTransport(c Config, fresh bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            c.Dial,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        c.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		Protocols:              protocols,
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Do sends r and returns the answer once its header is there. The caller must
// close the answer. Errors wrap one of this package's.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatchdog(func() { cancel(ErrSilent) })
	var sent, kept bool
	req := c.buildRequest(ctx, r, func(info httptrace.GotConnInfo) {
		sent = true
		kept = info.Reused
	})
	watch.start(r.FirstByte)
	resp, err := c.transport(r).RoundTrip(req)
	watch.stop()
	if err != nil {
		err = classify(err, context.Cause(ctx), sent)
		cancel(nil)
		c.countFailure(err)
		if kept {
			err = fmt.Errorf("%w %w", err, ErrReusedConnection)
		}
		return nil, errs.Wrap(err, Step, r.Target)
	}
	a := newResponse(ctx, cancel, watch, resp, r, c)
	c.echoCache.record(r.Addr, resp.Header.Get(c.dialect.RequestID) == r.RequestID)
	if err := c.checkResponse(a, r, resp); err != nil {
		a.abort()
		c.countFailure(err)
		return nil, errs.Wrap(err, Step, r.Target)
	}
	return a, nil
}

// transport chooses the connections for r.
func (c *Client) transport(r *Request) *http.Transport {
	if r.Idempotent && !r.NewConnection && c.echoCache.contains(r.Addr) {
		return c.keepAlive
	}
	return c.singleUse
}

// buildRequest makes the request for the transport.
func (c *Client) buildRequest(ctx context.Context, r *Request, onConn func(httptrace.GotConnInfo)) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		onConn(info)
		if r.OnSend != nil {
			r.OnSend()
		}
	}}
	req := &http.Request{
		Method:     r.Method,
		URL:        targetURL(r),
		Host:       cmp.Or(r.Host, r.Addr),
		Header:     c.dialect.requestHeader(r),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	// Each retry is the chain's decision, so the transport must have nothing to
	// replay: GetBody stays nil, the type hides the bytes, and where a method
	// without a body would do, there is an empty one of unknown length, which
	// the transport finds empty before it sends the header.
	if len(r.Body) > 0 || replayedWithoutBody(r.Method) {
		req.Body = io.NopCloser(&onceReader{data: r.Body})
		req.ContentLength = int64(len(r.Body))
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// replayedWithoutBody tells whether the transport replays the method by itself if
// there is no body.
func replayedWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// targetURL keeps the path as the caller escaped it.
func targetURL(r *Request) *url.URL {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		u = &url.URL{Opaque: r.URI}
	}
	u.Scheme = "http"
	u.Host = r.Addr
	return u
}

// onceReader reads data once.
type onceReader struct{ data []byte }

// Read returns the rest of the data.
func (o *onceReader) Read(p []byte) (int, error) {
	if len(o.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, o.data)
	o.data = o.data[n:]
	return n, nil
}
