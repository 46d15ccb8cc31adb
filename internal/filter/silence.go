package filter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// silenceRecheck is the time after which a try whose target is still silent is examined
// again, if no other target could take the request.
const silenceRecheck = 500 * time.Millisecond

// successor holds the target that takes over a request from a silent one. A sound target may
// fall silent for a second or two and go on, so a try is given up only once another target has
// a place for the request.
type successor struct {
	mu     sync.Mutex
	choice *balance.Choice
}

// take returns the choice and forgets it; nil if there is none.
func (s *successor) take() *balance.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.choice
	s.choice = nil
	return choice
}

// held reports whether there is a choice.
func (s *successor) held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choice != nil
}

// set stores a choice. It returns false if there is one already.
func (s *successor) set(choice balance.Choice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.choice != nil {
		return false
	}
	s.choice = &choice
	return true
}

// onSilence returns the function that decides on the current try when its target is silent:
// it returns zero if the try is to be given up, or how much longer to wait. The function may
// run while the try ends in another way, so it uses copies of what changes between tries.
func (d *dispatch) onSilence(ctx context.Context) func() time.Duration {
	exclude := slices.Clone(d.exclude)
	ran := d.ran + 1
	accepted := &atomic.Bool{}
	d.accepted = accepted
	return func() time.Duration {
		left := time.Until(d.x.Deadline)
		stream := d.stream.Load()
		switch {
		case left <= 0:
			return 0
		case accepted.Load() && stream != nil:
			return stream.onSilence()
		case accepted.Load() || !d.repeatable() || ran >= d.x.Route.MaxTargets:
			return left
		case d.reserveSuccessor(ctx, exclude):
			return 0
		default:
			return min(left, silenceRecheck)
		}
	}
}

// reserveSuccessor selects a target for one more send of the request, if the retry limit
// allows that, and reports whether there is one. It replaces the target that was selected for
// an earlier silence, which may have left since.
func (d *dispatch) reserveSuccessor(ctx context.Context, exclude []string) bool {
	d.releaseSuccessor()
	choice, err := d.chooseExcept(ctx, exclude)
	if err != nil {
		return false
	}
	if !d.allowRepeat() {
		choice.Done(balance.Abandoned)
		return false
	}
	if !d.successor.set(choice) {
		choice.Done(balance.Abandoned)
		d.Retries.ReturnRetry(d.x.Demand.Service)
		return false
	}
	return true
}

// releaseSuccessor gives the place and the retry of a selected target back that were not used.
func (d *dispatch) releaseSuccessor() {
	if choice := d.successor.take(); choice != nil {
		choice.Done(balance.Abandoned)
		d.Retries.ReturnRetry(d.x.Demand.Service)
	}
}

// recordSilent remembers that the current target was given up for its silence.
func (d *dispatch) recordSilent(err error) {
	if errors.Is(err, forward.ErrSilent) {
		d.silent = append(d.silent, d.choice.Target.Id)
	}
}

// readmitSilent lets the targets that were given up for their silence be selected again, and
// reports whether there are any. They may have gone on, and no other target takes the request.
func (d *dispatch) readmitSilent() bool {
	if len(d.silent) == 0 || d.ran >= d.x.Route.MaxTargets {
		return false
	}
	d.exclude = slices.DeleteFunc(d.exclude, func(id string) bool { return slices.Contains(d.silent, id) })
	d.silent = nil
	return true
}
