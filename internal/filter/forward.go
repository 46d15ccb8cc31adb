package filter

import (
	"context"
	"mime"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// Timeouts bound one try at a target.
type Timeouts struct {
	// FirstByte is the wait for the answer's header and first byte.
	FirstByte time.Duration
	// BetweenBytes is each further wait within the answer.
	BetweenBytes time.Duration
}

// Sender sends one try to one target.
type Sender interface {
	Do(ctx context.Context, r *forward.Request) (*forward.Answer, error)
}

// Forward sends the request to the granted target.
type Forward struct {
	Sender Sender
	// Timeouts returns the bounds of one try.
	Timeouts func(x *Exchange) Timeouts
	// NotRun tells whether an answer declares that the request did not run; nil
	// if targets never do.
	NotRun func(status int, h http.Header) bool
	// Hints returns what an answer says of its target; nil if targets say nothing.
	Hints func(status int, h http.Header) Hints
}

// Name returns the filter's name in specs.
func (*Forward) Name() string { return StepForward }

// Handle sets the answer. A second try takes a new connection, because the
// first one may have met a silent one.
func (f *Forward) Handle(ctx context.Context, x *Exchange, next Next) error {
	if err := checkDispatch(x); err != nil {
		return errs.Wrap(err, StepForward, "")
	}
	r := x.forwardRequest(f.Timeouts(x), x.Tries > 1)
	a, err := f.Sender.Do(ctx, r)
	if err != nil {
		return err
	}
	x.Answer = &Answer{
		Status:  a.Status,
		Header:  a.Header,
		Length:  a.Length,
		Framed:  a.Framed,
		Body:    a,
		Trailer: a.Trailer,
		Events:  isEventStream(a.Header.Get("Content-Type")),
	}
	if f.NotRun != nil {
		x.Answer.NotRun = f.NotRun(a.Status, a.Header)
	}
	if f.Hints != nil {
		x.Answer.Hints = f.Hints(a.Status, a.Header)
	}
	return next(ctx, x)
}

// isEventStream tells whether the media type is that of server-sent events.
func isEventStream(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && media == "text/event-stream"
}
