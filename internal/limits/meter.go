package limits

import (
	"math"
	"time"
)

const (
	// burstWindow is the time over which an unused rate adds up.
	burstWindow = 1 * time.Second
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 2 * time.Second
)

// meter enforces one router's share of a customer's limits. It is pure and
// not safe for concurrent use.
type meter struct {
	share  Amount
	expiry time.Time

	requests bucket
	tokens   bucket
	inUse    int

	// Attempts and tokens asked for, decaying over demandWindow.
	attempted Amount
	decayedAt time.Time
	rejected  int
	lastUsed  time.Time
}

// bucket is a token bucket whose level may fall below zero by one request.
type bucket struct {
	level      float64
	refilledAt time.Time
}

// refill adds what came in since the last refill. A time without a share
// leaves the bucket alone: the next share's rate counts for it, so that a
// share after a long pause starts with its burst.
func (b *bucket) refill(now time.Time, rate float64) {
	if math.IsInf(rate, 1) || rate <= 0 {
		return
	}
	depth := max(rate*burstWindow.Seconds(), 1)
	if b.refilledAt.IsZero() {
		b.level = depth
	} else {
		b.level = min(b.level+rate*now.Sub(b.refilledAt).Seconds(), depth)
	}
	b.refilledAt = now
}

// wait is the time until the level reaches least.
func (b *bucket) wait(rate, least float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(max(least-b.level, 0) / rate * float64(time.Second))
}

// setShare replaces the share; it lasts until the given time.
func (m *meter) setShare(now time.Time, share Amount, until time.Time) {
	m.refill(now)
	m.share = share
	m.expiry = until
}

// refill fills the buckets at the share in force so far.
func (m *meter) refill(now time.Time) {
	rate := m.activeShare(now)
	m.requests.refill(now, rate.Requests)
	m.tokens.refill(now, rate.Tokens)
}

// activeShare is the share in force; nothing once it has expired.
func (m *meter) activeShare(now time.Time) Amount {
	if !m.expiry.After(now) {
		return Amount{}
	}
	return m.share
}

// acquire takes one request and its expected tokens from the share. If it can't,
// it returns the code of the limit and when to come back.
func (m *meter) acquire(now time.Time, tokens float64) (code string, retryAfter time.Duration) {
	m.refill(now)
	share := m.activeShare(now)
	switch {
	case float64(m.inUse+1) > share.Concurrency:
		m.rejected++
		return CodeConcurrency, minRetryAfter
	case share.Requests <= 0 || (!math.IsInf(share.Requests, 1) && m.requests.level < 1):
		return CodeRequests, m.requests.wait(share.Requests, 1)
	case share.Tokens <= 0 || (!math.IsInf(share.Tokens, 1) && m.tokens.level <= 0):
		return CodeTokens, m.tokens.wait(share.Tokens, 1)
	}
	m.inUse++
	if !math.IsInf(share.Requests, 1) {
		m.requests.level--
	}
	if !math.IsInf(share.Tokens, 1) {
		m.tokens.level -= tokens
	}
	return "", 0
}

// release ends one request and corrects its tokens to what it consumed.
func (m *meter) release(now time.Time, expected, consumed float64) {
	m.refill(now)
	m.inUse--
	if consumed > 0 && !math.IsInf(m.share.Tokens, 1) {
		m.tokens.level += expected - consumed
	}
}

// recordAttempt notes an attempt for the demand.
func (m *meter) recordAttempt(now time.Time, tokens float64) {
	m.decay(now)
	m.attempted.Requests++
	m.attempted.Tokens += tokens
	m.lastUsed = now
}

func (m *meter) decay(now time.Time) {
	if !m.decayedAt.IsZero() {
		f := math.Exp(-now.Sub(m.decayedAt).Seconds() / demandWindow.Seconds())
		m.attempted.Requests *= f
		m.attempted.Tokens *= f
	}
	m.decayedAt = now
}

// demand is what the router needs now: at least room for one request.
func (m *meter) demand(now time.Time) Amount {
	m.decay(now)
	d := Amount{
		Requests:    max(m.attempted.Requests/demandWindow.Seconds(), 1),
		Tokens:      m.attempted.Tokens / demandWindow.Seconds(),
		Concurrency: float64(m.inUse + 1 + m.rejected),
	}
	m.rejected = 0
	return d
}
