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

// LimitedError means that all targets that could otherwise receive the request are at the
// rate limits that they name, or are cold and have no permit left.
type LimitedError struct {
	// RetryAfter is the time until the first of them may take another request.
	RetryAfter time.Duration
	// Full is set if the targets that should have the prompt cached can run no more of the
	// requests that limited targets leave to them.
	Full bool
}

// Error implements error.
func (e *LimitedError) Error() string {
	if e.Full {
		return fmt.Sprintf("targets are at the limits that they name, and those that could take the prompt are full; retry in %v", e.RetryAfter)
	}
	return fmt.Sprintf("all targets are at the limits that they name; the first may take a request in %v", e.RetryAfter.Round(time.Millisecond))
}

// errEvacuated means that targets would accept the request if their data centres were not
// evacuated.
var errEvacuated = fmt.Errorf("%w: data centres are evacuated", ErrNoTarget)

// noCandidateError returns the error for a request for which no candidate is eligible: a
// *LimitedError or a *PausedError if one becomes eligible once it is no longer withheld or
// paused, ErrNoTarget otherwise.
func noCandidateError(all []*candidate) error {
	var paused, limited time.Duration
	evacuated := false
	for _, c := range all {
		evacuated = evacuated || c.evacuated && !c.leaving && !c.excluded
		if c.leaving || c.evacuated || c.excluded {
			continue
		}
		if c.pausedFor > 0 && (paused == 0 || c.pausedFor < paused) {
			paused = c.pausedFor
		}
		if c.pausedFor <= 0 && c.withheldFor > 0 && (limited == 0 || c.withheldFor < limited) {
			limited = c.withheldFor
		}
	}
	switch {
	case limited > 0:
		return &LimitedError{RetryAfter: limited}
	case paused > 0:
		return &PausedError{RetryAfter: paused}
	case evacuated:
		return errEvacuated
	default:
		return ErrNoTarget
	}
}

// Withhold selects a target for no request for the duration d, because it is at the rate limit
// that it names. It replaces the duration of the call before.
func (b *Balancer) Withhold(st *pb.TargetStatus, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.target(now, st).withheldUntil = now.Add(d)
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
