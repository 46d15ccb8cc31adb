package balance

import (
	"fmt"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// PausedError means that the service has targets for the request, but that all of them
// requested a pause from this router.
type PausedError struct {
	// RetryAfter is the time until the first pause ends.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("all targets requested a pause, the first one ends in %v", e.RetryAfter.Round(time.Millisecond))
}

// noCandidateError returns the reason why no candidate could be selected: a
// *PausedError if a target would be eligible after its pause, ErrNoTarget otherwise.
func noCandidateError(all []*candidate) error {
	first := time.Duration(0)
	for _, c := range all {
		if c.pausedFor > 0 && !c.leaving && !c.excluded && (first == 0 || c.pausedFor < first) {
			first = c.pausedFor
		}
	}
	if first == 0 {
		return ErrNoTarget
	}
	return &PausedError{RetryAfter: first}
}

// Pause keeps requests from a target for the duration d that the target requested from
// this router (Retry-After). It reports whether this extends a known pause.
func (b *Balancer) Pause(st *pb.TargetStatus, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	t := b.target(now, st)
	until := now.Add(d)
	if !until.After(t.pausedUntil) {
		return false
	}
	t.pausedUntil = until
	return true
}

// MarkLeaving keeps requests from a target whose response said that it leaves, until
// its next incarnation. It reports whether this was not known before.
func (b *Balancer) MarkLeaving(st *pb.TargetStatus) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(b.now(), st)
	changed := !t.leavingByResponse
	t.leavingByResponse = true
	return changed
}
