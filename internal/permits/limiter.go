package permits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// silentWait is the time for which a router sends nothing to a limited target whose
	// owner does not answer.
	silentWait = 200 * time.Millisecond
	// startTime is the time after the start in which every request needs a permit, since
	// the router may not have been told yet which targets name a limit.
	startTime = time.Second
	// endedTTL is how long the end of a limit is spread.
	endedTTL = 5 * time.Second
)

// Answer is an owner's answer to a request for a permit.
type Answer struct {
	Granted bool
	// Wait is the time until the owner expects to have a permit again.
	Wait time.Duration
	// Latest is the owner's latest observation of the target; nil if it has none.
	Latest *Observation
}

// Seen is an observation of one target, which is identified by its load key.
type Seen struct {
	Target uint32
	Observation
}

// Limiter holds what one router knows of the limits of targets, and the permits of the targets
// that it owns. Targets are identified by their load keys. It is not safe for concurrent use.
type Limiter struct {
	started time.Time
	table   table
	meters  map[uint32]*meter
	// cold holds the buckets of cold targets.
	cold  map[uint32]*coldMeter
	reach reach
	// unsent holds the targets with an observation of this router that was not returned by
	// TakeSeen. spreadFrom is the target after which Spread continues.
	unsent     map[uint32]bool
	spreadFrom uint32
}

// NewLimiter returns the limiter of a router that starts now and knows no limits.
func NewLimiter(now time.Time) *Limiter {
	return &Limiter{started: now, table: newTable(), meters: make(map[uint32]*meter), unsent: make(map[uint32]bool)}
}

// Observe records the limit that an answer to this router showed. It reports whether the limit
// changed, and whether other routers must be told.
func (l *Limiter) Observe(now time.Time, target uint32, o Observation) (changed, report bool) {
	before, _ := l.table.at(now, target)
	report = o.Named || before.Named
	if report {
		l.unsent[target] = true
	}
	return l.learn(now, target, o), report
}

// learn records an observation of this or another router, and reports whether the limit
// changed.
func (l *Limiter) learn(now time.Time, target uint32, o Observation) (changed bool) {
	if _, known := l.table.at(now, target); !known && !o.Named {
		return false
	}
	changed = l.table.observe(now, target, o)
	if changed && !o.Named {
		delete(l.meters, target)
	}
	return changed
}

// Learn records an observation of another router, and reports whether the limit changed. A nil
// observation is ignored.
func (l *Limiter) Learn(now time.Time, target uint32, o *Observation) (changed bool) {
	return o != nil && l.learn(now, target, *o)
}

// Limits returns the limits that targets are known to name, in requests per second, by load
// key; nil if there are none.
func (l *Limiter) Limits(now time.Time) map[uint32]float64 {
	l.table.evict(now)
	var limits map[uint32]float64
	for target, o := range l.table.latest {
		if !o.Named {
			continue
		}
		if limits == nil {
			limits = make(map[uint32]float64)
		}
		limits[target] = o.PerSecond
	}
	return limits
}

// Latest returns the latest observation of a target; nil if there is none.
func (l *Limiter) Latest(now time.Time, target uint32) *Observation {
	o, known := l.table.at(now, target)
	if !known {
		return nil
	}
	return &o
}

// NeedsPermit reports whether a request to the target needs a permit of the target's owner.
func (l *Limiter) NeedsPermit(now time.Time, target uint32) bool {
	o, known := l.table.at(now, target)
	return o.Named || !known && now.Sub(l.started) < startTime
}

// SeeRouters records the number of serving routers that this router knows now, and returns
// the most that it has known in the last minute or two.
func (l *Limiter) SeeRouters(now time.Time, routers int) (fleet int) {
	return l.reach.see(now, routers)
}

// Grant decides as the owner of the target whether a request may be sent to it. latest is the
// latest observation of the router that asks, which may be nil, and fleet is the most routers
// that it has known.
func (l *Limiter) Grant(now time.Time, target uint32, latest *Observation, fleet int) Answer {
	l.Learn(now, target, latest)
	fraction := l.reach.fraction(now, fleet)
	o, known := l.table.at(now, target)
	if !known || !o.Named {
		return Answer{Granted: true, Latest: l.Latest(now, target)}
	}
	m := l.meters[target]
	if m == nil {
		l.removeIdleMeters(now)
		m = &meter{}
		l.meters[target] = m
	}
	wait, granted := m.take(now, o.Limit, fraction)
	return Answer{Granted: granted, Wait: wait, Latest: &o}
}

// removeIdleMeters removes the meters of targets without an observation that applies.
func (l *Limiter) removeIdleMeters(now time.Time) {
	for target := range l.meters {
		if _, known := l.table.at(now, target); !known {
			delete(l.meters, target)
		}
	}
}

// Unanswered decides on a request whose target's owner did not answer: a target that is
// known to name a limit gets nothing.
func (l *Limiter) Unanswered(now time.Time, target uint32) Answer {
	if o, _ := l.table.at(now, target); o.Named {
		return Answer{Wait: silentWait}
	}
	return Answer{Granted: true}
}

// TakeSeen returns at most n observations of this router that it has not returned before, for
// the collectors.
func (l *Limiter) TakeSeen(now time.Time, n int) []Seen {
	var seen []Seen
	for target := range l.unsent {
		if len(seen) >= n {
			break
		}
		delete(l.unsent, target)
		if o, known := l.table.at(now, target); known {
			seen = append(seen, Seen{Target: target, Observation: o})
		}
	}
	return seen
}

// Spread returns at most n limits, and ends of limits, that a collector tells all routers.
// Successive calls go through all of them in turn.
func (l *Limiter) Spread(now time.Time, n int) []Seen {
	var all []Seen
	for target, o := range l.table.latest {
		age := now.Sub(o.At)
		if age < endedTTL || o.Named && age < limitTTL {
			all = append(all, Seen{Target: target, Observation: o})
		}
	}
	// The subtraction wraps around, so the targets up to spreadFrom come last.
	slices.SortFunc(all, func(a, b Seen) int { return cmp.Compare(a.Target-l.spreadFrom-1, b.Target-l.spreadFrom-1) })
	all = all[:min(len(all), n)]
	if len(all) > 0 {
		l.spreadFrom = all[len(all)-1].Target
	}
	return all
}
