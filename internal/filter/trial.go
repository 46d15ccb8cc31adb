package filter

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/quarantine"
)

// Trial reports to the quarantine whether a target answers each try of a request, or ends
// before that.
type Trial struct {
	Guard PartGuard
}

// answeredEvents is the number of events after which a stream counts as answered. A target
// may still send the first one while it crashes.
const answeredEvents = 2

// Name returns the filter's name in specs.
func (*Trial) Name() string { return StepTrial }

// Handle passes the try on and observes its result. Refusals, failures with a status and
// silence say nothing about the prompt.
func (t *Trial) Handle(ctx context.Context, x *Exchange, next Next) error {
	target, sent := x.Grant.Target, time.Now()
	report := func(o quarantine.Outcome) {
		parts := guardedParts(x, t.Guard)
		if o == quarantine.Interrupted {
			parts = allParts(x)
		}
		t.Guard.Observe(x.ID, target, parts, sent, o)
	}
	if err := next(ctx, x); err != nil {
		if errors.Is(err, forward.ErrTruncated) {
			report(quarantine.Interrupted)
		}
		return err
	}
	a := x.Answer
	if a.NotRun || a.Status < http.StatusOK || a.Status >= http.StatusMultipleChoices {
		return nil
	}
	a.Body = &trialBody{ReadCloser: a.Body, events: a.Events, framed: a.Framed, report: report}
	return nil
}

// trialBody reports the outcome of a try once the body shows it.
type trialBody struct {
	io.ReadCloser
	// events is set if the body is a stream of events, seen counts them.
	events bool
	seen   int
	// framed is set if the target marks the end of the body.
	framed bool
	// inside is set if the body continues after the last event, and tail holds its last
	// bytes, in which the end of an event may have begun.
	inside bool
	tail   []byte
	report func(quarantine.Outcome)
	done   bool
}

// Read reads from the body.
func (b *trialBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.done {
		return n, err
	}
	b.count(p[:n])
	switch {
	case b.events && b.seen >= answeredEvents:
		b.finish(quarantine.Answered)
	case errors.Is(err, io.EOF) && b.events && (b.inside || b.seen == 0 && !b.framed):
		b.finish(quarantine.Interrupted)
	case errors.Is(err, io.EOF):
		b.finish(quarantine.Answered)
	case errors.Is(err, forward.ErrTruncated):
		b.finish(quarantine.Interrupted)
	}
	return n, err
}

func (b *trialBody) finish(o quarantine.Outcome) {
	b.done = true
	b.tail = nil
	b.report(o)
}

// count counts the ends of events in what was read.
func (b *trialBody) count(read []byte) {
	if !b.events {
		return
	}
	text := append(b.tail, read...)
	b.seen += bytes.Count(text, eventEnd)
	if i := bytes.LastIndex(text, eventEnd); i >= 0 {
		text = text[i+len(eventEnd):]
		b.inside = false
	}
	b.inside = b.inside || len(bytes.TrimSpace(text)) > 0
	b.tail = bytes.Clone(text[max(0, len(text)-len(eventEnd)+1):])
}
