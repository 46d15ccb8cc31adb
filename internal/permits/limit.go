package permits

import (
	"time"
)

const (
	// limitTTL is how long an observed limit applies without another observation.
	limitTTL = 30 * time.Second
	// maxTargets bounds the targets whose limits are kept. Beyond it, observations of
	// further targets are dropped.
	maxTargets = 16384
)

// Limit is the rate limit that a target names, or that it names none.
type Limit struct {
	// Named is set if the target names a limit.
	Named bool
	// PerSecond is the number of requests per second that the target takes from all
	// routers together.
	PerSecond float64
}

// Observation is a limit with the time of the answer that showed it.
type Observation struct {
	Limit
	At time.Time
}

// table holds the latest observations by the load key of the target.
type table struct {
	latest map[uint32]Observation
}

func newTable() table { return table{latest: make(map[uint32]Observation)} }

// observe keeps o if it is the latest one of the target. It reports whether the limit
// changed.
func (t *table) observe(now time.Time, key uint32, o Observation) (changed bool) {
	before, known := t.at(now, key)
	switch {
	case known && !o.At.After(before.At):
		return false
	case !known && len(t.latest) >= maxTargets && !t.evict(now):
		return false
	}
	t.latest[key] = o
	return o.Limit != before.Limit
}

// at returns the latest observation of a target, if there is one that still applies.
func (t *table) at(now time.Time, key uint32) (o Observation, known bool) {
	o, known = t.latest[key]
	if !known || now.Sub(o.At) >= limitTTL {
		return Observation{}, false
	}
	return o, true
}

// evict removes the observations that no longer apply and reports whether it removed any.
func (t *table) evict(now time.Time) (removed bool) {
	for key, o := range t.latest {
		if now.Sub(o.At) >= limitTTL {
			delete(t.latest, key)
			removed = true
		}
	}
	return removed
}
