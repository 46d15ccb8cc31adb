package filter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// peekBytes is how much of an answer is read before it is passed on: a plain
// answer up to this size is whole before the caller sees its first byte.
const peekBytes = 16 << 10

// streamPeekBytes is the most that is taken from a stream's first read.
const streamPeekBytes = 4 << 10

// Check makes sure that what goes to the caller is a whole answer or is seen
// as a cut.
type Check struct{}

// Name returns the filter's name in specs.
func (*Check) Name() string { return StepCheck }

// Handle reads the beginning of the answer, so that a target that fails early
// can still be replaced by another.
func (c *Check) Handle(ctx context.Context, x *Exchange, next Next) error {
	if err := next(ctx, x); err != nil {
		return err
	}
	a := x.Answer
	target := x.Grant.Target.GetId()
	chat := x.Demand.Model != ""
	switch {
	case chat && a.Events && a.Status == http.StatusOK:
		a.Body = &doneBody{body: a.Body, target: target}
	case !a.Framed:
		a.Body = &unframedBody{body: a.Body, target: target}
	}
	head, end, err := peek(a, chat)
	if err != nil {
		a.Body.Close()
		x.Answer = nil
		return err
	}
	a.Body = &prefixedBody{prefix: head, complete: end, body: a.Body}
	return nil
}

// peek reads the first bytes of a stream, or up to peekBytes of a plain
// answer: one of known length or of a chat. end tells that the whole body was
// read.
func peek(a *Answer, chat bool) (head []byte, end bool, err error) {
	plain := a.Length >= 0 || chat
	if a.Events || !plain {
		buf := make([]byte, streamPeekBytes)
		n, err := a.Body.Read(buf)
		if err == io.EOF {
			return buf[:n], true, nil
		}
		return buf[:n], false, err
	}
	head, err = io.ReadAll(io.LimitReader(a.Body, peekBytes))
	if err != nil {
		return nil, false, err
	}
	return head, len(head) < peekBytes, nil
}

// prefixedBody is a body whose beginning was read already.
type prefixedBody struct {
	prefix   []byte
	complete bool
	body     io.ReadCloser
}

// Read returns the beginning, then the rest.
func (r *prefixedBody) Read(p []byte) (int, error) {
	if len(r.prefix) > 0 {
		n := copy(p, r.prefix)
		r.prefix = r.prefix[n:]
		return n, nil
	}
	if r.complete {
		return 0, io.EOF
	}
	return r.body.Read(p)
}

// Close closes the body.
func (r *prefixedBody) Close() error { return r.body.Close() }

// doneLine is the line that ends a whole stream.
const doneLine = "data: [DONE]"

// doneBody turns the end of a stream without its end mark into a cut.
type doneBody struct {
	body   io.ReadCloser
	target string
	line   []byte
	done   bool
}

// Read reads on and looks for the end mark.
func (d *doneBody) Read(p []byte) (int, error) {
	n, err := d.body.Read(p)
	d.scan(p[:n])
	if err == nil {
		return n, nil
	}
	if d.finish() {
		// All that the caller waits for has come; what fails after it is the
		// connection's matter.
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		cut := fmt.Errorf("%w: the stream has no end mark", forward.ErrCut)
		return n, errs.Wrap(cut, StepCheck, d.target)
	}
	return n, err
}

// Close closes the body.
func (d *doneBody) Close() error { return d.body.Close() }

// scan keeps just enough of the present line to know the end mark.
func (d *doneBody) scan(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			d.keep(p)
			return
		}
		d.keep(p[:i])
		d.finish()
		d.line = d.line[:0]
		p = p[i+1:]
	}
}

// keep adds to the present line up to one byte more than the mark needs.
func (d *doneBody) keep(p []byte) {
	room := len(doneLine) + 2 - len(d.line)
	if room > 0 {
		d.line = append(d.line, p[:min(room, len(p))]...)
	}
}

// finish looks at the present line as a finished one.
func (d *doneBody) finish() bool {
	line := bytes.TrimSuffix(d.line, []byte("\r"))
	if string(line) == doneLine || string(line) == "data:[DONE]" {
		d.done = true
	}
	return d.done
}

// unframedBody turns the end of a body that no framing marks into a cut: a closed
// connection may be the end or the middle.
type unframedBody struct {
	body   io.ReadCloser
	target string
}

// Read reads on.
func (u *unframedBody) Read(p []byte) (int, error) {
	n, err := u.body.Read(p)
	if errors.Is(err, io.EOF) {
		cut := fmt.Errorf("%w: the answer's end is not marked", forward.ErrCut)
		return n, errs.Wrap(cut, StepCheck, u.target)
	}
	return n, err
}

// Close closes the body.
func (u *unframedBody) Close() error { return u.body.Close() }
