package permits

import (
	"cmp"
	"time"
)

const (
	// coldShare is the share of the bound of a cold target that one owner grants in any
	// second. Two owners may grant in the same second while the owner changes.
	coldShare = 0.5
	// coldBurst is the most permits that the bucket of a cold target holds.
	coldBurst = 2
	// coldDelay is the assumed variation of the time between a permit and the arrival of its
	// request: the requests of permits granted within a second plus coldDelay may arrive
	// within one second.
	coldDelay = 100 * time.Millisecond
	// minColdFraction is the fraction of the routers that an owner must reach to grant
	// permits for cold targets. Otherwise the buckets of many small parts of a partitioned
	// fleet could together hold more permits than the bound allows.
	minColdFraction = 0.125
	// coldRetention is how long the bucket of a target is kept after the last request for a
	// permit. A new bucket is empty, so removing one is safe.
	coldRetention = 10 * time.Second
)

// ColdBound bounds the requests that a cold target receives in any second from all routers:
// PerSecond, the rate that the target tolerates, times Overrun, plus Slack.
type ColdBound struct {
	// PerSecond is in requests per second; cold targets are not bounded if it is zero.
	PerSecond float64
	Overrun   float64
	// Slack is a number of requests.
	Slack float64
}

const (
	// DefaultColdOverrun is ColdBound.Overrun if the settings name none.
	DefaultColdOverrun = 1.5
	// DefaultColdSlack is ColdBound.Slack, in requests, if the settings name none.
	DefaultColdSlack = 5
)

// Rate returns the rate at which the owner of a cold target grants permits, in permits per
// second; zero if cold targets get as many requests as others.
func (b ColdBound) Rate() float64 {
	if b.PerSecond <= 0 {
		return 0
	}
	// At least half of the share is for the rate, also if the share is less than two bursts.
	rate := max(b.share()-coldBurst, b.share()/2) / (1 + coldDelay.Seconds())
	return min(rate, b.PerSecond)
}

// share returns the number of requests that one owner may let arrive in any second.
func (b ColdBound) share() float64 { return coldShare * (b.Overrun*b.PerSecond + b.Slack) }

// burst returns the number of permits that the bucket of a cold target holds, at least one.
func (b ColdBound) burst() float64 {
	return min(coldBurst, max(1, b.share()-b.Rate()*(1+coldDelay.Seconds())))
}

// coldMeter is the token bucket of one cold target's permits at its owner.
type coldMeter struct {
	tokens     float64
	refilledAt time.Time
	// waiting is the number of denied requests whose permit, in the order of the denials, is
	// not available yet. Each is told to wait for its own permit, so that the routers do not
	// all return for the first one.
	waiting float64
}

// take takes a permit under a bound. fraction is the fraction of the routers that the owner
// reaches. If there is no permit, take returns the time until the requester's permit.
func (m *coldMeter) take(now time.Time, b ColdBound, fraction float64) (wait time.Duration, granted bool) {
	rate := b.Rate() * fraction
	if !m.refilledAt.IsZero() {
		refill := rate * now.Sub(m.refilledAt).Seconds()
		m.tokens = min(m.tokens+refill, max(1, b.burst()*fraction))
		m.waiting = max(0, m.waiting-refill)
	}
	m.refilledAt = now
	if m.tokens >= 1 {
		m.tokens--
		return 0, true
	}
	wait = time.Duration((1 - m.tokens + m.waiting) / rate * float64(time.Second))
	// Requests whose permit is further away than maxWait are told to return before it is
	// available, so they are not counted.
	m.waiting = min(m.waiting+1, rate*maxWait.Seconds())
	return min(wait, maxWait), false
}

// GrantCold decides as the owner of a cold target whether a request may be sent to it. latest
// and fleet have the meaning that they have for Grant. A router that has just started grants
// nothing, since it may not know the other routers yet. A limit that the target names applies
// in addition.
func (l *Limiter) GrantCold(now time.Time, target uint32, latest *Observation, fleet int, b ColdBound) Answer {
	l.Learn(now, target, latest)
	if wait := startTime - now.Sub(l.started); wait > 0 {
		return Answer{Wait: wait, Latest: l.Latest(now, target)}
	}
	fraction := l.reach.fraction(now, fleet)
	if fraction < minColdFraction || b.Rate() <= 0 {
		return Answer{Wait: maxWait, Latest: l.Latest(now, target)}
	}
	m := l.cold[target]
	if m == nil {
		m = l.addColdMeter(now, target)
	}
	if wait, granted := m.take(now, b, fraction); !granted {
		return Answer{Wait: wait, Latest: l.Latest(now, target)}
	}
	return l.Grant(now, target, nil, fleet)
}

// addColdMeter adds an empty bucket and removes those that are no longer used.
func (l *Limiter) addColdMeter(now time.Time, target uint32) *coldMeter {
	for other, m := range l.cold {
		if now.Sub(m.refilledAt) > coldRetention {
			delete(l.cold, other)
		}
	}
	if l.cold == nil {
		l.cold = make(map[uint32]*coldMeter)
	}
	m := &coldMeter{}
	l.cold[target] = m
	return m
}

// UnansweredCold decides on a request to a cold target whose owner did not answer, or is not
// known: it is not sent.
func UnansweredCold() Answer { return Answer{Wait: silentWait} }

// ColdBoundOf returns the bound for a rate that a target tolerates. Nil stands for the default
// of overrun or slack.
func ColdBoundOf(perSecond float64, overrun, slack *float64) ColdBound {
	overrunDefault, slackDefault := float64(DefaultColdOverrun), float64(DefaultColdSlack)
	return ColdBound{
		PerSecond: perSecond,
		Overrun:   max(0, *cmp.Or(overrun, &overrunDefault)),
		Slack:     max(0, *cmp.Or(slack, &slackDefault)),
	}
}
