package forward

import (
	"cmp"
	"context"
	"errors"
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

// Default timeouts and bounds of the connections to targets.
const (
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is short, since a connection that carried a response
	// within the last seconds is rarely dead.
	DefaultIdleTimeout     = 4 * time.Second
	maxIdleConns           = 1024
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
)

// Request is one attempt of a caller's request at one target.
type Request struct {
	// Target is the target's id, Addr its IP number and port.
	Target string
	Addr   string
	Method string
	// URI is the escaped path and the query.
	URI       string
	Header    http.Header
	Body      []byte
	RequestID string
	// Customer is the customer of the caller. Targets receive it instead of the
	// bearer key.
	Customer string
	// Chat is the name of the chat that the router sends to an engine; it is empty for
	// services.
	Chat string
	// Host is the Host header; if empty, Addr is used.
	Host string
	// Extra headers replace those of Header. They are sent unfiltered.
	Extra http.Header
	// Idempotent is set if the request may use an existing connection to a target
	// that echoes request ids. NewConnection forces a new connection even then.
	Idempotent    bool
	NewConnection bool
	// FirstByte and BetweenBytes are timeouts; zero means no limit. FirstByte applies
	// to the wait for the response header and again to the first read of the body,
	// BetweenBytes to each later read.
	FirstByte    time.Duration
	BetweenBytes time.Duration
	// OnSilence is called when one of these timeouts has passed. It returns how much longer
	// to wait; zero ends the attempt with ErrSilent. It may be nil, and it is called by
	// another goroutine.
	OnSilence func() time.Duration
	// Life returns what is known of the target's process; nil if nothing is.
	Life func() Life
	// OnSend is called once a connection is available, before any byte of the
	// request can be sent.
	OnSend func()
}

// Config configures a Client. Zero values mean the defaults.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	Dial        dialFunc
	// Dialect defines the headers of requests and responses; nil means those of
	// Wigeonwood's own targets.
	Dialect *Dialect
	Scope   tally.Scope
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	keepAlive  *http.Transport
	singleUse  *http.Transport
	dial       dialFunc
	dialect    *Dialect
	echoCache  echoCache
	mismatched tally.Counter
	silent     tally.Counter
	truncated  tally.Counter
	invalid    tally.Counter
	unframed   tally.Counter
	// leftTargets counts the responses without framing whose target had left when they ended.
	leftTargets tally.Counter
	// witnessed counts those that a witness proved complete, awaited those whose end waited
	// for an announcement of the target.
	witnessed tally.Counter
	awaited   tally.Counter
	breaks    breakLog
	witnesses *witnesses
	// stop ends what runs in the background.
	stop context.CancelFunc
}

// New creates a Client.
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
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		keepAlive:  newTransport(c, false),
		singleUse:  newTransport(c, true),
		dial:       c.Dial,
		dialect:    c.Dialect,
		mismatched: scope.Counter("crossed_answers"),
		silent:     scope.Counter("silent_targets"),
		truncated:  scope.Counter("cut_answers"),
		invalid:    scope.Counter("invalid_answers"),
		unframed:   scope.Counter("unframed_answers"),

		leftTargets: scope.Counter("unframed_answers_of_left_targets"),
		witnessed:   scope.Counter("unframed_answers_witnessed"),
		awaited:     scope.Counter("unframed_answers_awaited"),
		witnesses:   newWitnesses(ctx, c.Dial),
		stop:        cancel,
	}
}

// newTransport creates an HTTP/1.1 Transport that neither adds Accept-Encoding nor
// decompresses responses. If singleUse is set, each request uses a new connection.
func newTransport(c Config, singleUse bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialTarget(c.Dial),
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        c.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		Protocols:              protocols,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.stop()
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Do sends r and returns the response once its header has arrived, or the beginning of its body
// as well if it is early. The caller must close the response. Errors wrap one of this package's
// errors.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := newWatchdog(r.onSilence, func() { cancel(ErrSilent) })
	a := &attempt{sentAt: time.Now(), witness: c.witnesses.existing(r.Addr)}
	req := c.buildRequest(ctx, r, a)
	w.start(r.FirstByte)
	httpResp, err := c.transport(r).RoundTrip(req)
	w.stop()
	if err == nil && errors.Is(context.Cause(ctx), ErrSilent) {
		// The Transport returns a response that arrives while the request is cancelled. Its
		// body can't be read any more.
		httpResp.Body.Close()
		err = ErrSilent
	}
	if err != nil {
		c.witnesses.release(a.witness)
		err = c.roundTripError(err, context.Cause(ctx), r.Addr, a)
		cancel(nil)
		return nil, errs.Wrap(err, Step, r.Target)
	}
	resp := newResponse(ctx, cancel, w, httpResp, r, c, a)
	c.echoCache.record(r.Addr, httpResp.Header.Get(c.dialect.RequestID) == r.RequestID)
	if err := c.checkResponse(resp, r, httpResp, a); err != nil {
		resp.abort()
		c.countFailure(err)
		return nil, errs.Wrap(err, Step, r.Target)
	}
	if !resp.Framed {
		c.unframed.Inc(1)
	}
	if resp.isEarly(a) {
		if err := resp.readBeginning(); err != nil {
			resp.abort()
			return nil, err
		}
	}
	return resp, nil
}

// roundTripError converts and counts the error with which the Transport ended a request to addr.
// cause is context.Cause of the request's context.
func (c *Client) roundTripError(err, cause error, addr string, a *attempt) error {
	if headErr := a.headErr(); headErr != nil {
		c.countFailure(headErr)
		return headErr
	}
	err = classify(err, cause, a.connected)
	c.countFailure(err)
	if errors.Is(err, ErrTruncated) && !a.reused {
		c.breaks.record(addr)
	}
	if a.reused {
		return fmt.Errorf("%w %w", err, ErrReusedConnection)
	}
	return err
}

// life returns what is known of the target's process.
func (r *Request) life() Life {
	if r.Life == nil {
		return Life{}
	}
	return r.Life()
}

// onSilence returns how much longer to wait for a target that is silent.
func (r *Request) onSilence() time.Duration {
	if r.OnSilence == nil {
		return 0
	}
	return r.OnSilence()
}

// transport returns the Transport for r: keepAlive if r may use an existing
// connection, otherwise singleUse.
func (c *Client) transport(r *Request) *http.Transport {
	if r.Idempotent && !r.NewConnection && c.echoCache.contains(r.Addr) {
		return c.keepAlive
	}
	return c.singleUse
}

// buildRequest creates the request for the Transport and sets the body of a. a learns the
// connection before r.OnSend is called.
func (c *Client) buildRequest(ctx context.Context, r *Request, a *attempt) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.setConn(info)
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
	// Only the filter chain decides on retries, so the Transport must not be able
	// to replay the request: GetBody is nil and the type of the body hides its
	// bytes. The Transport replays some methods on its own if there is no body. For
	// these, the body is an empty reader of unknown length; the Transport finds
	// that it is empty before it sends the header.
	if len(r.Body) > 0 || replayedWithoutBody(r.Method) {
		a.upload.data = r.Body
		req.Body = io.NopCloser(&a.upload)
		req.ContentLength = int64(len(r.Body))
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// replayedWithoutBody reports whether the Transport replays requests with this
// method on its own if there is no body.
func replayedWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// targetURL returns the URL of the request. It keeps the path as the caller escaped
// it.
func targetURL(r *Request) *url.URL {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		u = &url.URL{Opaque: r.URI}
	}
	u.Scheme = "http"
	u.Host = r.Addr
	return u
}
