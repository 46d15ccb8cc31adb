package announce

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// stampIssuer issues stamps that prove the freshness of announcements. Each reply
// contains a stamp, which the target sends back with its next announcement; this
// announcement was therefore made after that reply. An announcement that waited in
// a buffer, while the router or the network was stalled, carries an old stamp and
// renews no lease. A stamp consists of a nonce that identifies the process of the
// router and the time of issue in milliseconds since start.
type stampIssuer struct {
	nonce uint64
	start time.Time
}

func newStampIssuer(now time.Time) stampIssuer {
	return stampIssuer{nonce: rand.Uint64(), start: now}
}

// issue returns the stamp for a reply sent at now.
func (s stampIssuer) issue(now time.Time) string {
	return fmt.Sprintf("%x-%d", s.nonce, now.Sub(s.start).Milliseconds())
}

// issuedAt returns when the stamp was issued. ok is false if another process issued
// the stamp, or if its time is before start or after now.
func (s stampIssuer) issuedAt(stamp string, now time.Time) (at time.Time, ok bool) {
	var nonce uint64
	var ms int64
	if _, err := fmt.Sscanf(stamp, "%x-%d", &nonce, &ms); err != nil || nonce != s.nonce {
		return time.Time{}, false
	}
	at = s.start.Add(time.Duration(ms) * time.Millisecond)
	return at, ms >= 0 && !at.After(now)
}
