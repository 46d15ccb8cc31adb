package announce

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// stampIssuer proves that an announcement was made after an earlier answer: a
// target returns the stamp of that answer. An announcement that waited in a
// buffer, while the router or the network stood still, bears an old stamp and
// renews no lease.
type stampIssuer struct {
	nonce uint64
	start time.Time
}

func newStampIssuer(now time.Time) stampIssuer {
	return stampIssuer{nonce: rand.Uint64(), start: now}
}

// issue returns the stamp of an answer given now.
func (s stampIssuer) issue(now time.Time) string {
	return fmt.Sprintf("%x-%d", s.nonce, now.Sub(s.start).Milliseconds())
}

// issuedAt returns when this process issued a stamp; ok is false for others.
func (s stampIssuer) issuedAt(stamp string, now time.Time) (at time.Time, ok bool) {
	var process uint64
	var ms int64
	if _, err := fmt.Sscanf(stamp, "%x-%d", &process, &ms); err != nil || process != s.nonce {
		return time.Time{}, false
	}
	at = s.start.Add(time.Duration(ms) * time.Millisecond)
	return at, ms >= 0 && !at.After(now)
}
