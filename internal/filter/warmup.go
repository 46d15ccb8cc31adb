package filter

import (
	"math/rand/v2"
	"time"
)

const (
	// warmupTime is how long after its start a router may lack the routing table
	// or targets: the replicas restart more slowly, and targets announce
	// themselves about once a second.
	warmupTime = 1300 * time.Millisecond
	// returnSpread is the time over which refused callers come back.
	returnSpread = 400 * time.Millisecond
	// minReturn is the least time after which a refused caller comes back.
	minReturn = 250 * time.Millisecond
)

// Warmup tells callers that a router refuses for want of a table or a target
// when to come back. It answers the load after a restart of the whole fleet: each
// caller tries again once, and all of them would come back while the router still
// lacks what it needs.
type Warmup struct {
	Started time.Time
}

// RetryAfter is when to come back; draw is between 0 and 1.
func (w Warmup) RetryAfter(now time.Time, draw float64) time.Duration {
	return spreadReturn(w.Started.Add(warmupTime).Sub(now), draw)
}

// spreadReturn is a time of at least minReturn after which one of many refused callers
// comes back; draw is between 0 and 1.
func spreadReturn(wait time.Duration, draw float64) time.Duration {
	return max(minReturn, wait) + time.Duration(draw*float64(returnSpread))
}

// busyReturn is when callers that all targets are too busy for come back; draw is
// between 0 and 1.
func busyReturn(draw float64) time.Duration { return spreadReturn(0, draw) }

func (w Warmup) retryAfter() time.Duration { return w.RetryAfter(time.Now(), rand.Float64()) }
