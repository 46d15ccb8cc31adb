package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandDecay is the time constant of the demand counters. It covers enough requests
	// for shares of teams at a router that receives about eight requests per second.
	demandDecay = 8 * time.Second
	// maxTeams bounds the teams of a kind that are counted separately.
	maxTeams = 1024
	// forgottenBelow is the counter value below which a kind or team counts as inactive.
	forgottenBelow = 0.05
)

// decayed is a counter whose value decays with demandDecay.
type decayed struct {
	value float64
	at    time.Time
}

func (d *decayed) add(now time.Time, n float64) {
	d.value = d.get(now) + n
	d.at = now
}

func (d *decayed) get(now time.Time) float64 {
	return d.value * math.Exp(-max(0, now.Sub(d.at)).Seconds()/demandDecay.Seconds())
}

// kind counts the requests of one priority at one service.
type kind struct {
	priority int
	goal     time.Duration
	offered  decayed
	admitted decayed
	teams    map[string]*team
	// rejectedPart is a moving average of the part of the kind that may not be admitted.
	rejectedPart float64
	// firstEvent is the recent time to the first event of this router's own requests.
	firstEvent mean
	// turn is the time at which the last rejected caller was told to return.
	turn time.Time
}

// team counts the requests of one team within a kind.
type team struct{ offered, admitted decayed }

// mean is an exponentially weighted moving average of durations.
type mean struct {
	value time.Duration
	at    time.Time
}

// meanWeight is the weight of the latest duration.
const meanWeight = 0.1

func (m *mean) add(now time.Time, d time.Duration) {
	if m.at.IsZero() {
		m.value = d
	} else {
		m.value += time.Duration(meanWeight * float64(d-m.value))
	}
	m.at = now
}

// offer counts a request of a team.
func (k *kind) offer(now time.Time, name string) {
	k.offered.add(now, 1)
	t := k.teams[name]
	if t == nil {
		if len(k.teams) >= maxTeams {
			k.forgetTeams(now)
		}
		t = &team{}
		k.teams[name] = t
	}
	t.offered.add(now, 1)
}

// forgetTeams removes inactive teams, or all if every team is active.
func (k *kind) forgetTeams(now time.Time) {
	for name, t := range k.teams {
		if t.offered.get(now) < forgottenBelow {
			delete(k.teams, name)
		}
	}
	if len(k.teams) >= maxTeams {
		clear(k.teams)
	}
}

// admittedPart returns the part of a team's requests that is admitted if the kind may admit
// the given part of all its requests. The kind's admissions are divided by max-min fairness:
// a team below its fair share is admitted entirely, and the teams above it are cut to the
// same number of requests.
func (k *kind) admittedPart(now time.Time, name string, part float64) float64 {
	demands := make([]float64, 0, len(k.teams))
	total := 0.0
	for _, t := range k.teams {
		demands = append(demands, t.offered.get(now))
	}
	slices.SortFunc(demands, cmp.Compare[float64])
	for _, d := range demands {
		total += d
	}
	left, limit := part*total, 0.0
	for i, d := range demands {
		limit = left / float64(len(demands)-i)
		if d > limit {
			break
		}
		left -= d
		limit = d
	}
	own := k.teams[name].offered.get(now)
	return min(1, limit/max(own, math.SmallestNonzeroFloat64))
}

// starves reports whether the kind, or the team within it, was admitted less often than the
// given ratio. A team counts once it has sent enough requests for one admission.
func (k *kind) starves(now time.Time, name string, ratio float64) bool {
	if k.admitted.get(now) < ratio*k.offered.get(now) {
		return true
	}
	t := k.teams[name]
	due := ratio * t.offered.get(now)
	return due >= 1 && t.admitted.get(now) < due
}

// aboveShareFactor is the multiple of the mean of a kind's active teams above which a team is
// above its fair share.
const aboveShareFactor = 2.5

// aboveShare reports whether a team sends far more than the mean of the kind's active teams.
func (k *kind) aboveShare(now time.Time, name string) bool {
	active := 0
	for _, t := range k.teams {
		if t.offered.get(now) >= forgottenBelow {
			active++
		}
	}
	return active > 1 && k.teams[name].offered.get(now) > aboveShareFactor*k.offered.get(now)/float64(active)
}
