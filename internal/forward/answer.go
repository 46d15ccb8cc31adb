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

// Answer is a target's answer. Reading its body fails with ErrCut or
// ErrSilent, never with a clean end, if the body isn't whole as framed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, -1 if unknown.
	Length int64
	// Framed tells that the end of the body is marked; without it a closed
	// connection can't be told from the end.
	Framed bool

	resp   *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *watchdog
	// wait bounds the next read: that of the first byte, then those between.
	wait    time.Duration
	between time.Duration
	target  string
	count   func(error)
	dialect *Dialect
}

func newAnswer(ctx context.Context, cancel context.CancelCauseFunc, w *watchdog, resp *http.Response, r *Request, c *Client) *Answer {
	return &Answer{
		Status:  resp.StatusCode,
		Header:  copyEndToEnd(resp.Header, c.dialect.OwnAnswer),
		Length:  resp.ContentLength,
		Framed:  framed(resp),
		resp:    resp,
		ctx:     ctx,
		cancel:  cancel,
		watch:   w,
		wait:    r.FirstByte,
		between: r.BetweenBytes,
		target:  r.Target,
		count:   c.count,
		dialect: c.dialect,
	}
}

// framed tells whether the end of the answer's body is marked.
func framed(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return chunked || resp.ContentLength >= 0 || resp.Body == http.NoBody
}

// check refuses answers that belong to another request or that switch away
// from HTTP.
func (c *Client) check(a *Answer, r *Request, resp *http.Response) error {
	id := resp.Header.Get(c.dialect.RequestID)
	if id != r.RequestID && (id != "" || c.dialect.AlwaysEchoed) {
		return ErrCrossed
	}
	if c.dialect.Genuine != nil && !c.dialect.Genuine(resp) {
		return fmt.Errorf("%w: the answer is not the target's own", ErrProtocol)
	}
	if a.Status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status 101", ErrProtocol)
	}
	return nil
}

// Read reads the body.
func (a *Answer) Read(p []byte) (int, error) {
	a.watch.start(a.wait)
	n, err := a.resp.Body.Read(p)
	a.watch.stop()
	a.wait = a.between
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	err = classify(err, context.Cause(a.ctx), true)
	a.count(err)
	return n, errs.Wrap(err, Step, a.target)
}

// Trailer returns the trailers; they are complete after the end of the body.
func (a *Answer) Trailer() http.Header { return copyEndToEnd(a.resp.Trailer, a.dialect.OwnAnswer) }

// Close ends the answer. A body that wasn't read to its end takes its
// connection with it, which cancels the request at the target.
func (a *Answer) Close() error {
	a.drop()
	return nil
}

// drop cancels first: closing the body alone could let the connection live.
func (a *Answer) drop() {
	a.watch.stop()
	a.cancel(nil)
	a.resp.Body.Close()
}

// count counts failures of targets.
func (c *Client) count(err error) {
	switch {
	case errors.Is(err, ErrCrossed):
		c.crossed.Inc(1)
	case errors.Is(err, ErrSilent):
		c.silent.Inc(1)
	case errors.Is(err, ErrCut):
		c.cut.Inc(1)
	}
}
