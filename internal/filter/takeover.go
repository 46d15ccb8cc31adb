package filter

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// takeoverOverlap is how long the response of a silent target is kept after the request was sent
// to the next one. No stream may run at two targets for longer.
const takeoverOverlap = 300 * time.Millisecond

// takeover gives up one of two targets of a stream: the silent one, whose response is being
// read, or the next one, which has not accepted the request yet.
type takeover struct {
	current io.Closer
	// giveUpNext ends the try at the next target.
	giveUpNext context.CancelCauseFunc
	// mayGiveUpCurrent reports whether the silent target may be given up for the next one. It
	// must allow that only if the request can return to the silent target, or if that one has
	// stayed silent although the next one was given up for it before.
	mayGiveUpCurrent func() bool
	// nextSilence bounds the silence of the next target once the silent one was given up.
	nextSilence time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// sends counts the sends, so that a timer that fires late does not act on a later one.
	sends int
	// gaveUpCurrent, gaveUpNext and ended are set at most once each.
	gaveUpCurrent bool
	gaveUpNext    bool
	ended         bool
}

// onSend is called when the request is sent to the next target.
func (t *takeover) onSend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends++
	wait := takeoverOverlap
	if t.gaveUpCurrent {
		wait = t.nextSilence
	}
	t.startTimer(wait)
}

// startTimer calls expire after d, unless the request is sent again before that. The caller
// holds t.mu.
func (t *takeover) startTimer(d time.Duration) {
	if t.timer != nil {
		t.timer.Stop()
	}
	send := t.sends
	t.timer = time.AfterFunc(d, func() { t.expire(send) })
}

// expire is called when the next target has been silent for too long after the given send.
func (t *takeover) expire(send int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.ended || t.gaveUpNext || t.sends != send:
	case t.gaveUpCurrent:
		t.endNext(forward.ErrSilent)
	case t.mayGiveUpCurrent():
		t.gaveUpCurrent = true
		t.current.Close()
		t.startTimer(t.nextSilence - takeoverOverlap)
	default:
		t.endNext(forward.ErrAbandoned)
	}
}

// onEvent is called when the silent target has sent an event.
func (t *takeover) onEvent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended && !t.gaveUpCurrent && !t.gaveUpNext {
		t.endNext(forward.ErrAbandoned)
	}
}

// endNext ends the try at the next target. The caller holds t.mu.
func (t *takeover) endNext(cause error) {
	t.gaveUpNext = true
	t.giveUpNext(cause)
}

// end ends the takeover. No target is given up afterwards.
func (t *takeover) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// read reads once from the current target. onSilence may run meanwhile.
func (s *eventStream) read() (int, error) {
	s.mu.Lock()
	s.reading = true
	s.mu.Unlock()
	n, err := s.body.Read(s.buf)
	if t := s.takeover.Load(); t != nil && endsEvent(slices.Concat(s.partial, s.buf[:n])) {
		t.onEvent()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	if err != nil && s.abandoned {
		err = errs.Wrap(forward.ErrSilent, StepDispatch, s.work.choice.Target.Id)
	}
	return n, err
}

// endsEvent reports whether an event, and not only comments, ends in these bytes of a stream.
func endsEvent(b []byte) bool {
	return bytes.Contains(b, eventEnd) && !isComment(b)
}

// onSilence is called by another goroutine when the current target has been silent for too
// long. It returns how much longer to wait for it, zero if another target has taken over.
func (s *eventStream) onSilence() time.Duration {
	if !s.mu.TryLock() {
		return silenceRecheck
	}
	defer s.mu.Unlock()
	if !s.reading || s.next != nil {
		return silenceRecheck
	}
	return s.takeOver(errs.Wrap(forward.ErrSilent, StepDispatch, s.work.choice.Target.Id))
}

// takeOver resumes the stream at another target, or at the current one if the other does not
// accept it. The target that could still answer must not be given up for one that then does
// not. takeOver returns zero if s.next takes over, or how much longer to wait for the current
// target, whose failure is cause.
func (s *eventStream) takeOver(cause error) time.Duration {
	w := s.work
	left := time.Until(w.x.Deadline)
	if left <= 0 || s.ctx.Err() != nil || !w.repeatable() || s.sawEvent && s.lastID == "" || !w.mayRunAgain() {
		return max(left, silenceRecheck)
	}
	wait := min(left, silenceRecheck)
	if !w.reserveSuccessor(s.ctx, w.exclude) {
		return wait
	}
	choice, grant := w.choice, w.x.Grant
	w.x.AddReason(StepDispatch, choice.Target.Id, "to be resumed after event "+s.lastID+": "+cause.Error())
	w.x.LastEvent = s.lastID
	next, mayReturn := s.askNext()
	if next != nil {
		choice.Done(balance.Failed)
		// It may go on, so it may be selected again if the next target breaks off.
		w.silent = append(w.silent, choice.Target.Id)
		s.next = next
		return 0
	}
	if mayReturn {
		s.next = s.askAgain(choice)
	}
	if s.next != nil {
		return 0
	}
	w.choice, w.x.Grant = choice, grant
	w.x.AddReason(StepDispatch, choice.Target.Id, "no other target resumes the stream; it stays here")
	return wait
}

// askNext sends the request to the target that is to take over. It returns the response that
// resumes the stream, nil if there is none, and whether the current response was closed and the
// request may be sent to its target again. s.abandoned is set if it was closed for nothing.
func (s *eventStream) askNext() (next *Answer, mayReturn bool) {
	w := s.work
	current := w.choice.Target.Id
	ctx, cancel := context.WithCancelCause(s.ctx)
	allowed := false
	t := &takeover{
		current:     s.body,
		giveUpNext:  cancel,
		nextSilence: maxNextSilence(w.x, time.Now()),
		mayGiveUpCurrent: func() bool {
			allowed = w.allowRepeat()
			return allowed || s.preferNext
		},
	}
	s.takeover.Store(t)
	w.x.OnSend = t.onSend
	next = s.resumeAnywhere(ctx)
	w.x.OnSend = nil
	s.takeover.Store(nil)
	t.end()
	if next != nil && t.gaveUpNext {
		s.decline(next, balance.Abandoned)
		next = nil
	}
	if next != nil {
		w.x.OnEnd(func(Usage) { cancel(nil) })
	} else {
		cancel(nil)
	}
	if asked := w.choice.Target.Id; t.gaveUpNext && !t.gaveUpCurrent && asked != current {
		// The next target has failed in nothing and may be asked again.
		w.exclude = slices.DeleteFunc(w.exclude, func(id string) bool { return id == asked })
		s.preferNext = true
	}
	s.abandoned = t.gaveUpCurrent && next == nil
	mayReturn = s.abandoned && s.ctx.Err() == nil && w.repeatable() && (allowed || w.allowRepeat())
	if allowed && !mayReturn {
		w.Retries.ReturnRetry(w.x.Demand.Service)
	}
	return next, mayReturn
}

// maxNextSilence returns how long the next target of a stream may be silent if no other one runs
// the stream: as long as for any first byte, and no less than a sound target may be.
func maxNextSilence(x *Exchange, now time.Time) time.Duration {
	return max(minStreamSilence, firstByteLimit(x, now))
}

// askAgain sends the request once more to the target whose response was closed. It returns
// the response that resumes the stream, nil if there is none.
func (s *eventStream) askAgain(choice balance.Choice) *Answer {
	s.work.x.AddReason(StepDispatch, choice.Target.Id, "asked again: the next target has not taken over")
	s.work.releaseSuccessor()
	s.work.successor.set(choice)
	return s.resumeAnywhere(s.ctx)
}

// resumeAnywhere sends the request to the reserved target, and to others if that one does not
// respond. It returns the response that resumes the stream, nil if there is none.
func (s *eventStream) resumeAnywhere(ctx context.Context) *Answer {
	next, err := s.work.runAgain(ctx)
	if err != nil {
		return nil
	}
	if !resumes(next) {
		s.decline(next, balance.Failed)
		return nil
	}
	return next
}

// decline closes a response that does not resume the stream.
func (s *eventStream) decline(a *Answer, o balance.Outcome) {
	a.Body.Close()
	s.work.choice.Done(o)
}
