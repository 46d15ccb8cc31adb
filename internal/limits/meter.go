package limits

import (
	"math"
	"time"
)

const (
	// burstWindow is the time in which a token bucket fills at the rate of the
	// share: the burst is the rate times burstWindow, but at least 1.
	burstWindow = 1 * time.Second
	// demandWindow is the time constant of the exponentially decaying average
	// of the demand.
	demandWindow = 2 * time.Second
)

// meter enforces one router's share of a customer's limits. It performs no I/O
// and reads no clock: its methods take the time as an argument. It is not safe
// for concurrent use.
type meter struct {
	share  Amount
	expiry time.Time

	requests bucket
	tokens   bucket
	inUse    int

	// attempted sums the requests and tokens of all attempts, admitted or not, and
	// decays exponentially with the time constant demandWindow.
	attempted Amount
	// decayedAt is when the decay was last applied.
	decayedAt time.Time
	// rejected counts the attempts refused for lack of concurrency since the
	// last call of demand.
	rejected int
	// lastUsed is the time of the last attempt.
	lastUsed time.Time
}

// bucket is a token bucket. The bucket for tokens admits a request while its
// level is positive, so one request can make the level negative.
type bucket struct {
	level      float64
	refilledAt time.Time
}

// refill adds what accumulated at this rate since the last refill. An unlimited
// rate needs no bucket and changes nothing. A rate of zero means that there is no
// share: refill then changes nothing and does not advance refilledAt. The rate of
// the next share therefore applies to the time without a share as well, and a
// share after a long pause starts with its full burst.
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

// wait returns the time until the level reaches minLevel, or maxRetryAfter if the
// rate is zero.
func (b *bucket) wait(rate, minLevel float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(max(minLevel-b.level, 0) / rate * float64(time.Second))
}

// setShare replaces the share. The new share is valid until expiry.
func (m *meter) setShare(now time.Time, share Amount, expiry time.Time) {
	m.refill(now)
	m.share = share
	m.expiry = expiry
}

// refill refills the buckets at the rates of the active share.
func (m *meter) refill(now time.Time) {
	rate := m.activeShare(now)
	m.requests.refill(now, rate.Requests)
	m.tokens.refill(now, rate.Tokens)
}

// activeShare returns the current share, or zero once it has expired.
func (m *meter) activeShare(now time.Time) Amount {
	if !m.expiry.After(now) {
		return Amount{}
	}
	return m.share
}

// acquire takes one request and its expected tokens from the share. If the share
// does not allow the request, acquire returns the code of the exhausted limit and
// the time to wait before a retry.
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

// release ends one request and corrects its tokens from expected to consumed. A
// consumed count of zero means that the usage is unknown.
func (m *meter) release(now time.Time, expected, consumed float64) {
	m.refill(now)
	m.inUse--
	if consumed > 0 && !math.IsInf(m.share.Tokens, 1) {
		m.tokens.level += expected - consumed
	}
}

// recordAttempt counts an attempt towards the demand.
func (m *meter) recordAttempt(now time.Time, tokens float64) {
	m.decay(now)
	m.attempted.Requests++
	m.attempted.Tokens += tokens
	m.lastUsed = now
}

// decay applies the exponential decay since the last call to attempted.
func (m *meter) decay(now time.Time) {
	if !m.decayedAt.IsZero() {
		f := math.Exp(-now.Sub(m.decayedAt).Seconds() / demandWindow.Seconds())
		m.attempted.Requests *= f
		m.attempted.Tokens *= f
	}
	m.decayedAt = now
}

// demand returns this router's current demand and resets the count of rejected
// attempts. The demand covers at least one request.
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
