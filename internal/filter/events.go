package filter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

const (
	// streamSilenceGaps and minStreamSilence bound the silence of a resumable stream:
	// it may last streamSilenceGaps times the route's GapGoal, which is the longest
	// pause of a stream that is on time, and at least minStreamSilence.
	streamSilenceGaps = 4
	minStreamSilence  = 1500 * time.Millisecond
	// maxEventBytes bounds one event, so that a thousand streams whose events never end
	// fit in the memory of a small router.
	maxEventBytes = 64 << 10
	// eventReadBytes bounds one read from the target.
	eventReadBytes = 8 << 10
)

// errEventOrder means that a resumed stream skipped or repeated an event.
var errEventOrder = errors.New("the resumed stream does not continue after the last event")

// errStalled means that a target sent bytes but no event for longer than allowed.
var errStalled = errors.New("the stream sent no event within the allowed pause")

// eventStream passes on complete events only. If the stream ends early and the route
// permits it, eventStream resumes the stream at another target, after the last complete
// event.
type eventStream struct {
	ctx  context.Context
	work *dispatch
	// mu guards the stream and its exchange while reading is set: the stream is then blocked
	// in a read, and onSilence may run.
	mu      sync.Mutex
	reading bool
	// next is the response that takes over from the current one; abandoned is set if the
	// current one was closed for a takeover.
	next      *Answer
	abandoned bool
	// takeover is set while another target is asked to take over.
	takeover atomic.Pointer[takeover]
	// preferNext is set if the next target was given up for the current one, which has sent no
	// event since.
	preferNext bool

	body io.ReadCloser
	// framed is set if the current target marks the end of its response, sawEventHere
	// once it has sent an event or a comment.
	framed       bool
	sawEventHere bool
	// complete holds complete events that were not passed on yet, partial the beginning
	// of the next event.
	complete []byte
	partial  []byte
	buf      []byte
	// lastID is the id of the last complete event that has one, at first the id after
	// which the caller resumes the stream. lastNumber is the last event id that is a
	// number.
	lastNumber uint64
	lastID     string
	// sawEvent is set once an event or a comment was read. resumed is set if the numbers
	// of further events must be consecutive.
	sawEvent bool
	resumed  bool
	// maxPause is the longest permitted time without progress: the beginning of a response
	// and each event. Parts of an event and comments are no progress. stalledAt is when it
	// ends.
	maxPause  time.Duration
	stalledAt time.Time
	err       error
}

func newEventStream(ctx context.Context, work *dispatch, a *Answer) *eventStream {
	s := &eventStream{ctx: ctx, work: work, buf: make([]byte, eventReadBytes), lastID: work.x.LastEvent}
	s.readFrom(a)
	work.stream.Store(s)
	return s
}

// readFrom makes the body of a the target response that the stream reads.
func (s *eventStream) readFrom(a *Answer) {
	now := time.Now()
	s.body = a.Body
	s.abandoned = false
	s.framed = a.Framed
	s.sawEventHere = false
	s.maxPause = TryTimeouts(s.work.x, now).BetweenBytes
	s.stalledAt = now.Add(s.maxPause)
}

// Read returns complete events.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.complete) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.fill()
	}
	n := copy(p, s.complete)
	s.complete = s.complete[n:]
	return n, nil
}

// Close closes the current target's response.
func (s *eventStream) Close() error { return s.body.Close() }

// fill reads once from the target. If the target failed or stalled, fill resumes the
// stream at another target or ends it.
func (s *eventStream) fill() {
	n, err := s.read()
	if s.next != nil {
		s.switchToNext()
		return
	}
	if n > 0 {
		s.partial = append(s.partial, s.buf[:n]...)
		s.split()
	}
	switch {
	case s.err != nil:
	case err == nil:
		if time.Now().After(s.stalledAt) {
			s.stalledAt = time.Now().Add(s.takeOver(errs.Wrap(errStalled, StepDispatch, s.work.choice.Target.Id)))
			s.switchToNext()
		}
	case errors.Is(err, io.EOF):
		s.end()
	default:
		s.resumeOrFail(err)
	}
}

// end ends the stream after the target has ended its response. A response that ends inside
// an event was broken off, and so was one without framing and without any event: the target
// closed the connection before it had begun.
func (s *eventStream) end() {
	switch {
	case len(bytes.TrimSpace(s.partial)) > 0:
		s.resumeOrFail(s.brokenOff("the stream ended inside an event"))
	case !s.framed && !s.sawEventHere:
		s.resumeOrFail(s.brokenOff("the stream ended before its first event, without framing"))
	default:
		// Blank lines after the last event belong to the body as well.
		s.complete = append(s.complete, s.partial...)
		s.partial = nil
		s.err = io.EOF
	}
}

func (s *eventStream) brokenOff(text string) error {
	return errs.Wrap(fmt.Errorf("%w: %s", forward.ErrTruncated, text), StepDispatch, s.work.choice.Target.Id)
}

// eventEnd is the blank line after each event.
var eventEnd = []byte("\n\n")

// split moves complete events from partial to complete.
func (s *eventStream) split() {
	for {
		i := bytes.Index(s.partial, eventEnd)
		if i < 0 {
			break
		}
		event := s.partial[:i+len(eventEnd)]
		if !s.recordID(event) {
			s.err = errs.Wrap(errEventOrder, StepDispatch, s.work.choice.Target.Id)
			return
		}
		if !isComment(event) {
			s.preferNext = false
			s.work.recordFirstEvent()
			s.stalledAt = time.Now().Add(s.maxPause)
		}
		s.complete = append(s.complete, event...)
		s.partial = s.partial[len(event):]
	}
	if len(s.partial) > maxEventBytes {
		s.err = errs.Wrap(fmt.Errorf("an event exceeds the limit of %d bytes", maxEventBytes), StepDispatch, s.work.choice.Target.Id)
	}
}

// recordID records the event's id. It returns false, and records no id, if a resumed
// stream skipped or repeated an event.
func (s *eventStream) recordID(event []byte) bool {
	s.sawEvent = true
	s.sawEventHere = true
	id := eventID(event)
	if id == "" {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	if err == nil && s.resumed && number != s.lastNumber+1 {
		return false
	}
	if err == nil {
		s.lastNumber = number
	}
	s.lastID = id
	return true
}

// isComment reports whether all lines of an event are comments or empty.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimSpace(line); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the event's id field, "" if there is none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// resumeOrFail resumes the stream at another target, or ends it with err.
func (s *eventStream) resumeOrFail(err error) {
	w := s.work
	s.partial = nil
	s.body.Close()
	if s.ctx.Err() != nil || !w.repeatable() || s.sawEvent && s.lastID == "" || !w.mayRunAgain() || !w.mayRepeatNow() {
		s.err = err
		return
	}
	w.choice.Done(balance.Failed)
	w.x.AddReason(StepDispatch, w.choice.Target.Id, "resumed after event "+s.lastID+": "+err.Error())
	w.x.LastEvent = s.lastID
	next, rerr := w.runAgain(s.ctx)
	if rerr != nil {
		s.err = errors.Join(err, rerr)
		return
	}
	if !resumes(next) {
		next.Body.Close()
		s.err = errs.Wrap(fmt.Errorf("the stream can't be resumed: status %d", next.Status), StepDispatch, w.choice.Target.Id)
		return
	}
	s.next = next
	s.switchToNext()
}

// resumes reports whether an answer can continue a stream.
func resumes(a *Answer) bool {
	return a.Status == http.StatusOK && forward.IsEventStream(a.Header.Get("Content-Type"))
}

// switchToNext goes on with the response that takes over, if there is one.
func (s *eventStream) switchToNext() {
	if s.next == nil {
		return
	}
	s.body.Close()
	s.partial = nil
	// If no event was read so far, the stream starts from its beginning.
	s.resumed = s.sawEvent
	s.readFrom(s.next)
	s.next = nil
}
