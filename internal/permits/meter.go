package permits

import "time"

const (
	// minBurst is the number of permits that a bucket may hold at any rate, and burstTime the
	// time whose permits it may hold in addition.
	minBurst  = 2
	burstTime = time.Second
	// minPerSecond is the rate of permits for a target with a lower limit. Without any
	// request, no router would learn that the limit has ended.
	minPerSecond = 0.25
	// maxWait bounds the time for which a router is told to wait, since the limit may end
	// meanwhile.
	maxWait = time.Second
)

// meter is the token bucket of one target's permits at its owner.
type meter struct {
	tokens     float64
	refilledAt time.Time
}

// take takes a permit at the rate of the limit l. reach is the fraction of the routers that
// the owner reaches. If there is no permit, take returns the time until there is one. The
// bucket of a new meter is empty.
func (m *meter) take(now time.Time, l Limit, reach float64) (wait time.Duration, granted bool) {
	rate := max(l.PerSecond, minPerSecond) * reach
	if !m.refilledAt.IsZero() {
		m.tokens += rate * now.Sub(m.refilledAt).Seconds()
	}
	m.refilledAt = now
	m.tokens = min(m.tokens, minBurst+rate*burstTime.Seconds())
	if m.tokens >= 1 {
		m.tokens--
		return 0, true
	}
	wait = time.Duration((1 - m.tokens) / rate * float64(time.Second))
	return min(wait, maxWait), false
}
