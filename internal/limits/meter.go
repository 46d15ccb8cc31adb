package limits

import (
	"math"
	"time"
)

const (
	// burst is the time over which an unused rate adds up.
	burst = 1 * time.Second
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 2 * time.Second
)

// meter enforces one router's share of a customer's limits. It is pure and
// not safe for concurrent use.
type meter struct {
	share Amount
	until time.Time

	requests bucket
	tokens   bucket
	inUse    int

	// Attempts and tokens asked for, decaying over demandWindow.
	asked      Amount
	askedAt    time.Time
	turnedAway int
	used       time.Time
}

// bucket is a token bucket whose level may fall below zero by one request.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds what came in since the last refill. A time without a share
// leaves the bucket alone: the next share's rate counts for it, so that a
// share after a long pause starts with its burst.
func (b *bucket) refill(now time.Time, rate float64) {
	if math.IsInf(rate, 1) || rate <= 0 {
		return
	}
	depth := max(rate*burst.Seconds(), 1)
	if b.at.IsZero() {
		b.level = depth
	} else {
		b.level = min(b.level+rate*now.Sub(b.at).Seconds(), depth)
	}
	b.at = now
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
	m.settle(now)
	m.share = share
	m.until = until
}

// settle fills the buckets at the share in force so far.
func (m *meter) settle(now time.Time) {
	rate := m.present(now)
	m.requests.refill(now, rate.Requests)
	m.tokens.refill(now, rate.Tokens)
}

// present is the share in force; nothing once it has expired.
func (m *meter) present(now time.Time) Amount {
	if !m.until.After(now) {
		return Amount{}
	}
	return m.share
}

// take takes one request and its expected tokens from the share. If it can't,
// it returns the code of the limit and when to come back.
func (m *meter) take(now time.Time, tokens float64) (code string, retryAfter time.Duration) {
	m.settle(now)
	share := m.present(now)
	switch {
	case float64(m.inUse+1) > share.Concurrency:
		m.turnedAway++
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

// give ends one request and corrects its tokens to what it consumed.
func (m *meter) give(now time.Time, expected, consumed float64) {
	m.settle(now)
	m.inUse--
	if consumed > 0 && !math.IsInf(m.share.Tokens, 1) {
		m.tokens.level += expected - consumed
	}
}

// ask notes an attempt for the demand.
func (m *meter) ask(now time.Time, tokens float64) {
	m.decay(now)
	m.asked.Requests++
	m.asked.Tokens += tokens
	m.used = now
}

func (m *meter) decay(now time.Time) {
	if !m.askedAt.IsZero() {
		f := math.Exp(-now.Sub(m.askedAt).Seconds() / demandWindow.Seconds())
		m.asked.Requests *= f
		m.asked.Tokens *= f
	}
	m.askedAt = now
}

// demand is what the router needs now: at least room for one request.
func (m *meter) demand(now time.Time) Amount {
	m.decay(now)
	d := Amount{
		Requests:    max(m.asked.Requests/demandWindow.Seconds(), 1),
		Tokens:      m.asked.Tokens / demandWindow.Seconds(),
		Concurrency: float64(m.inUse + 1 + m.turnedAway),
	}
	m.turnedAway = 0
	return d
}
