package balance

import (
	"fmt"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// PausedError means that targets of the service are left, and that all of them want
// no requests from this router now.
type PausedError struct {
	// RetryAfter is the time until the first of them takes requests again.
	RetryAfter time.Duration
}

// Error names the time.
func (e *PausedError) Error() string {
	return fmt.Sprintf("all targets want no requests for %v", e.RetryAfter.Round(time.Millisecond))
}

// noCandidateError tells why no candidate was chosen.
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

// Pause keeps requests from a target for as long as it wants none from this router. It
// tells whether that is longer than was known.
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

// MarkLeaving keeps requests from a target that said in an answer that it leaves, until its
// next start. It tells whether that was news.
func (b *Balancer) MarkLeaving(st *pb.TargetStatus) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(b.now(), st)
	news := !t.leaving
	t.leaving = true
	return news
}
