package balance

import (
	"fmt"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// PausedError means that all targets that could otherwise receive the request requested
// a pause from this router.
type PausedError struct {
	// RetryAfter is the time until the first pause ends.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("all targets requested a pause; the first pause ends in %v", e.RetryAfter.Round(time.Millisecond))
}

// noCandidateError returns the error for a request for which no candidate is eligible: a
// *PausedError if one becomes eligible after its pause, ErrNoTarget otherwise.
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

// Pause stops sending requests to a target for the duration d, which the target
// requested from this router (Retry-After). A pause is never shortened. Pause reports
// whether the end of the target's pause has moved to a later time.
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

// MarkLeaving stops sending requests to the present incarnation of a target, one of
// whose responses stated that the target is leaving. It reports whether this was the
// first such response.
func (b *Balancer) MarkLeaving(st *pb.TargetStatus) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(b.now(), st)
	changed := !t.leavingByResponse
	t.leavingByResponse = true
	return changed
}
