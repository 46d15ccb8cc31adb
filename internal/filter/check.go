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

// peekBytes is how much of an answer is read before any of it goes to the caller: a
// plain answer of up to this size is complete before the caller receives its first
// byte.
const peekBytes = 16 << 10

// firstReadBytes bounds the first read of a body.
const firstReadBytes = 4 << 10

// Check is the filter of StepCheck and detects truncated answers: either the caller
// receives the complete answer, or reading the body of the answer fails with an error.
type Check struct{}

// Name returns the filter's name in specs.
func (*Check) Name() string { return StepCheck }

// Handle reads the beginning of the answer, so that a request whose target fails early
// can still go to another target.
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
	a.Body = &prefixedBody{prefix: head, end: end, body: a.Body}
	return nil
}

// peek reads the first bytes of a stream, or up to peekBytes of a plain answer. Answers
// of known length and answers of chats are plain unless they are event streams. end is
// io.EOF if head is the full body.
func peek(a *Answer, chat bool) (head []byte, end, err error) {
	plain := a.Length >= 0 || chat
	if a.Events || !plain {
		return readFirst(a.Body)
	}
	head, err = io.ReadAll(io.LimitReader(a.Body, peekBytes))
	if err != nil {
		return nil, nil, err
	}
	if len(head) < peekBytes {
		end = io.EOF
	}
	return head, end, nil
}

// readFirst reads the first bytes of a body. It fails if the body fails before them; end is the
// result of the read, which must not be repeated if it is not nil.
func readFirst(body io.Reader) (head []byte, end, err error) {
	buf := make([]byte, firstReadBytes)
	n := 0
	for n == 0 && end == nil {
		n, end = body.Read(buf)
	}
	if n == 0 && !errors.Is(end, io.EOF) {
		return nil, nil, end
	}
	return buf[:n], end, nil
}

// prefixedBody is a body whose beginning was read already.
type prefixedBody struct {
	prefix []byte
	// end is the result of reading on after prefix, if that is known: io.EOF if prefix is the
	// full body.
	end  error
	body io.ReadCloser
}

// Read returns the beginning that was read already, then the rest of the body.
func (b *prefixedBody) Read(p []byte) (int, error) {
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	return b.body.Read(p)
}

// Close closes the body.
func (b *prefixedBody) Close() error { return b.body.Close() }

// doneLine is the end marker: the line that ends a complete chat stream.
const doneLine = "data: [DONE]"

// doneBody turns the end of a stream without the end marker into forward.ErrTruncated.
type doneBody struct {
	body   io.ReadCloser
	target string
	line   []byte
	done   bool
}

// Read reads from the stream and looks for the end marker.
func (d *doneBody) Read(p []byte) (int, error) {
	n, err := d.body.Read(p)
	d.scan(p[:n])
	if err == nil {
		return n, nil
	}
	if d.endLine() {
		// The caller has the complete stream. An error after it concerns the connection
		// only.
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		cut := fmt.Errorf("%w: the stream ended without its end marker", forward.ErrTruncated)
		return n, errs.Wrap(cut, StepCheck, d.target)
	}
	return n, err
}

// Close closes the body.
func (d *doneBody) Close() error { return d.body.Close() }

// scan splits p into lines and keeps just enough of the current one to recognise the
// end marker.
func (d *doneBody) scan(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			d.keep(p)
			return
		}
		d.keep(p[:i])
		d.endLine()
		d.line = d.line[:0]
		p = p[i+1:]
	}
}

// keep appends p to the current line, up to one byte more than the end marker and its
// carriage return need, so that a longer line doesn't match.
func (d *doneBody) keep(p []byte) {
	room := len(doneLine) + 2 - len(d.line)
	if room > 0 {
		d.line = append(d.line, p[:min(room, len(p))]...)
	}
}

// endLine checks whether the current line, which is complete, is the end marker. It
// reports whether this or an earlier line was.
func (d *doneBody) endLine() bool {
	line := bytes.TrimSuffix(d.line, []byte("\r"))
	if string(line) == doneLine || string(line) == "data:[DONE]" {
		d.done = true
	}
	return d.done
}

// unframedBody turns the end of a body without framing into forward.ErrTruncated: a closed
// connection may mean the end or a truncation.
type unframedBody struct {
	body   io.ReadCloser
	target string
}

// Read reads from the body and turns io.EOF into an error.
func (u *unframedBody) Read(p []byte) (int, error) {
	n, err := u.body.Read(p)
	if errors.Is(err, io.EOF) {
		cut := fmt.Errorf("%w: no framing marks the end of the answer", forward.ErrTruncated)
		return n, errs.Wrap(cut, StepCheck, u.target)
	}
	return n, err
}

// Close closes the body.
func (u *unframedBody) Close() error { return u.body.Close() }
