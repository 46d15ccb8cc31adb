package filter

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// takeoverOverlap is how long the response of a silent target is kept after the request was
// sent to another one. A target that declines does so at once; no stream may run at two targets
// for longer.
const takeoverOverlap = 300 * time.Millisecond

// read reads once from the current target. onSilence may run meanwhile.
func (s *eventStream) read() (int, error) {
	s.mu.Lock()
	s.reading = true
	s.mu.Unlock()
	n, err := s.body.Read(s.buf)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	if err != nil && s.abandoned {
		err = errs.Wrap(forward.ErrSilent, StepDispatch, s.work.choice.Target.Id)
	}
	return n, err
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

// takeOver resumes the stream at another target. The current response stays open until that
// target has accepted the request, so that the stream can go on there if none does; it must not
// be the only one that could still answer and be given up. takeOver returns zero if s.next
// takes over, or how much longer to wait for the current target, whose failure is cause.
func (s *eventStream) takeOver(cause error) time.Duration {
	w := s.work
	left := time.Until(w.x.Deadline)
	if left <= 0 || s.ctx.Err() != nil || !w.repeatable() || s.sawEvent && s.lastID == "" || w.ran >= w.x.Route.MaxTargets {
		return max(left, silenceRecheck)
	}
	wait := min(left, silenceRecheck)
	if !w.reserveSuccessor(s.ctx, w.exclude) {
		return wait
	}
	choice, grant := w.choice, w.x.Grant
	w.x.AddReason(StepDispatch, choice.Target.Id, "to be resumed after event "+s.lastID+": "+cause.Error())
	w.x.LastEvent = s.lastID
	current := s.body
	overlap := time.AfterFunc(takeoverOverlap, func() { current.Close() })
	next, err := w.runAgain(s.ctx)
	s.abandoned = !overlap.Stop()
	if err == nil && resumes(next) {
		choice.Done(balance.Failed)
		s.next, s.abandoned = next, false
		return 0
	}
	if err == nil {
		next.Body.Close()
	}
	w.choice, w.x.Grant = choice, grant
	w.x.AddReason(StepDispatch, choice.Target.Id, "no other target resumes the stream; it stays here")
	return wait
}
