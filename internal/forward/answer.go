package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
)

// Response is a target's answer. Reading its body fails with ErrCut or
// ErrSilent, never with a clean end, if the body isn't whole as framed.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, -1 if unknown.
	Length int64
	// Framed tells that the end of the body is marked; without it a closed
	// connection can't be told from the end.
	Framed bool

	httpResp *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	// nextTimeout bounds the next read: that of the first byte, then those between.
	nextTimeout  time.Duration
	betweenBytes time.Duration
	target       string
	countFailure func(error)
	dialect      *Dialect
}

func newResponse(ctx context.Context, cancel context.CancelCauseFunc, w *watchdog, resp *http.Response, r *Request, c *Client) *Response {
	return &Response{
		Status:       resp.StatusCode,
		Header:       copyEndToEnd(resp.Header, c.dialect.IsReservedResponseHeader),
		Length:       resp.ContentLength,
		Framed:       framed(resp),
		httpResp:     resp,
		ctx:          ctx,
		cancel:       cancel,
		watchdog:     w,
		nextTimeout:  r.FirstByte,
		betweenBytes: r.BetweenBytes,
		target:       r.Target,
		countFailure: c.countFailure,
		dialect:      c.dialect,
	}
}

// framed tells whether the end of the answer's body is marked.
func framed(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return chunked || resp.ContentLength >= 0 || resp.Body == http.NoBody
}

// checkResponse refuses answers that belong to another request or that switch away
// from HTTP.
func (c *Client) checkResponse(a *Response, r *Request, resp *http.Response) error {
	id := resp.Header.Get(c.dialect.RequestID)
	if id != r.RequestID && (id != "" || c.dialect.RequireEcho) {
		return ErrRequestIDMismatch
	}
	if c.dialect.IsTargetResponse != nil && !c.dialect.IsTargetResponse(resp) {
		return fmt.Errorf("%w: the answer is not the target's own", ErrProtocol)
	}
	if a.Status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status 101", ErrProtocol)
	}
	return nil
}

// Read reads the body.
func (a *Response) Read(p []byte) (int, error) {
	a.watchdog.start(a.nextTimeout)
	n, err := a.httpResp.Body.Read(p)
	a.watchdog.stop()
	a.nextTimeout = a.betweenBytes
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	err = classify(err, context.Cause(a.ctx), true)
	a.countFailure(err)
	return n, errs.Wrap(err, Step, a.target)
}

// Trailer returns the trailers; they are complete after the end of the body.
func (a *Response) Trailer() http.Header {
	return copyEndToEnd(a.httpResp.Trailer, a.dialect.IsReservedResponseHeader)
}

// Close ends the answer. A body that wasn't read to its end takes its
// connection with it, which cancels the request at the target.
func (a *Response) Close() error {
	a.abort()
	return nil
}

// abort cancels first: closing the body alone could let the connection live.
func (a *Response) abort() {
	a.watchdog.stop()
	a.cancel(nil)
	a.httpResp.Body.Close()
}

// countFailure counts failures of targets.
func (c *Client) countFailure(err error) {
	switch {
	case errors.Is(err, ErrRequestIDMismatch):
		c.crossed.Inc(1)
	case errors.Is(err, ErrSilent):
		c.silent.Inc(1)
	case errors.Is(err, ErrTruncated):
		c.cut.Inc(1)
	}
}
