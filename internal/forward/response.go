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

// Response is the HTTP response of a target. Reading its body fails with
// ErrTruncated or ErrSilent, and never ends with io.EOF, if the body is not
// complete as framed.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1 if it is unknown.
	Length int64
	// Framed is set if the response marks the end of its body. Otherwise the body
	// ends when the connection closes. It counts as truncated if the process that sent it
	// did not outlive it, unless the target is known to leave; a truncation by a process
	// that lives on cannot be detected.
	Framed bool

	httpResp *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	// nextTimeout bounds the next read of the body: the first by Request.FirstByte, later
	// ones by betweenBytes.
	nextTimeout  time.Duration
	betweenBytes time.Duration
	request      *Request
	client       *Client
	// end decides on the end of a response without framing; nil for others. events follows a
	// stream of events among them; nil for others.
	end    *connectionEnd
	events *eventEnd
	// body is the whole body for the caller of Do, which may have read its beginning.
	body io.Reader
}

func newResponse(ctx context.Context, cancel context.CancelCauseFunc, w *watchdog, httpResp *http.Response, r *Request, c *Client, a *attempt) *Response {
	resp := &Response{
		Status:       httpResp.StatusCode,
		Header:       copyEndToEnd(httpResp.Header, c.dialect.IsReservedResponseHeader),
		Length:       httpResp.ContentLength,
		Framed:       framed(httpResp),
		httpResp:     httpResp,
		ctx:          ctx,
		cancel:       cancel,
		watchdog:     w,
		nextTimeout:  r.FirstByte,
		betweenBytes: r.BetweenBytes,
		request:      r,
		client:       c,
	}
	if resp.Framed {
		c.witnesses.release(a.witness)
	} else {
		resp.end = &connectionEnd{client: c, request: r, witness: a.witness, sentAt: a.sentAt}
	}
	if !resp.Framed && IsEventStream(resp.Header.Get("Content-Type")) {
		resp.events = &eventEnd{}
	}
	resp.body = &targetBody{resp}
	return resp
}

// framed reports whether the response marks the end of its body by a length or by
// chunked encoding, or has no body.
func framed(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return chunked || resp.ContentLength >= 0 || resp.Body == http.NoBody
}

// checkResponse rejects responses whose head is broken, that carry another request's id or
// none where one is required, that do not come from the target, or that switch to another
// protocol.
func (c *Client) checkResponse(resp *Response, r *Request, httpResp *http.Response, a *attempt) error {
	if err := a.headErr(); err != nil {
		return err
	}
	if err := checkStatus(httpResp); err != nil {
		return err
	}
	id := httpResp.Header.Get(c.dialect.RequestID)
	if id != r.RequestID && (id != "" || c.dialect.RequireEcho) {
		return ErrRequestIDMismatch
	}
	if c.dialect.IsTargetResponse != nil && !c.dialect.IsTargetResponse(httpResp) {
		return fmt.Errorf("%w: the response does not come from the target", ErrProtocol)
	}
	if resp.Status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status 101", ErrProtocol)
	}
	return nil
}

// Read reads from the body.
func (r *Response) Read(p []byte) (int, error) { return r.body.Read(p) }

// targetBody is the body of a response as the target sends it.
type targetBody struct{ *Response }

// Read reads from the target.
func (r *targetBody) Read(p []byte) (int, error) {
	began := time.Now()
	r.watchdog.start(r.nextTimeout)
	n, err := r.httpResp.Body.Read(p)
	r.watchdog.stop()
	r.nextTimeout = r.betweenBytes
	if r.end != nil {
		r.end.recordRead(began, n)
	}
	if r.events != nil {
		r.events.write(p[:n])
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = r.checkEnd()
		if err == nil {
			return n, io.EOF
		}
	}
	err = classify(err, context.Cause(r.ctx), true)
	r.client.countFailure(err)
	if errors.Is(err, ErrTruncated) {
		r.client.breaks.record(r.request.Addr)
	}
	return n, errs.Wrap(err, Step, r.request.Target)
}

// checkEnd returns an error if the end of the body is not the end of the response.
func (r *Response) checkEnd() error {
	if r.end == nil {
		return nil
	}
	if r.events != nil && !r.events.afterEvent {
		return errInsideEvent
	}
	return r.end.confirm(r.ctx)
}

// Trailer returns the trailers without hop-by-hop and reserved ones. They are
// complete once Read has returned io.EOF.
func (r *Response) Trailer() http.Header {
	return copyEndToEnd(r.httpResp.Trailer, r.client.dialect.IsReservedResponseHeader)
}

// Close closes the response. If the body was not read to its end, its connection is
// closed too, which cancels the request at the target.
func (r *Response) Close() error {
	r.abort()
	return nil
}

// abort cancels the context before it closes the body, since closing the body alone
// could leave the connection open.
func (r *Response) abort() {
	r.watchdog.stop()
	r.cancel(nil)
	r.httpResp.Body.Close()
	if r.end != nil {
		r.end.release()
	}
}

// countFailure counts mismatched, silent, truncated and invalid responses; other errors are
// not counted.
func (c *Client) countFailure(err error) {
	switch {
	case errors.Is(err, ErrRequestIDMismatch):
		c.mismatched.Inc(1)
	case errors.Is(err, ErrSilent):
		c.silent.Inc(1)
	case errors.Is(err, ErrTruncated):
		c.truncated.Inc(1)
	case errors.Is(err, ErrProtocol):
		c.invalid.Inc(1)
	}
}
