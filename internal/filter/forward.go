package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Timeouts bound one try at a target.
type Timeouts struct {
	// FirstByte bounds the wait for the header of the response, and again that for the first
	// byte of its body.
	FirstByte time.Duration
	// BetweenBytes bounds each further wait within the response.
	BetweenBytes time.Duration
}

// Sender sends one try to one target.
type Sender interface {
	Do(ctx context.Context, r *forward.Request) (*forward.Response, error)
}

// Forward is the filter that sends the request to the granted target.
type Forward struct {
	Sender Sender
	// Timeouts returns the timeouts of one try.
	Timeouts func(x *Exchange) Timeouts
	// NotRun reports whether a response declares that the request did not run; nil if
	// targets never declare this.
	NotRun func(status int, h http.Header) bool
	// Hints returns the hints in a response; nil if targets send none.
	Hints func(status int, h http.Header) Hints
	// Life returns what is known of the process that announced a target; nil if nothing ever is.
	Life func(target *pb.TargetStatus) forward.Life
}

// Name returns the filter's name in specs.
func (*Forward) Name() string { return StepForward }

// Handle sends the request and sets the answer. A second try uses a new connection,
// because the first one may have used a connection that had gone silent.
func (f *Forward) Handle(ctx context.Context, x *Exchange, next Next) error {
	if err := checkDispatch(x); err != nil {
		return errs.Wrap(err, StepForward, "")
	}
	r := x.forwardRequest(f.Timeouts(x), x.Tries > 1)
	if target := x.Grant.Target; f.Life != nil {
		r.Life = func() forward.Life { return f.Life(target) }
	}
	a, err := f.Sender.Do(ctx, r)
	if err != nil {
		return err
	}
	if !a.Framed {
		x.AddReason(StepForward, r.Target, "the response has neither a length nor chunks and ends with its connection")
	}
	x.Answer = &Answer{
		Status:  a.Status,
		Header:  a.Header,
		Length:  a.Length,
		Framed:  a.Framed,
		Body:    a,
		Trailer: a.Trailer,
		Events:  forward.IsEventStream(a.Header.Get("Content-Type")),
	}
	if f.NotRun != nil {
		x.Answer.NotRun = f.NotRun(a.Status, a.Header)
	}
	if f.Hints != nil {
		x.Answer.Hints = f.Hints(a.Status, a.Header)
	}
	return next(ctx, x)
}
