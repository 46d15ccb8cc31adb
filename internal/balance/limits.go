package balance

import (
	"math"
	"time"
)

const (
	// demandWindow is the window in which this router counts the requests of a service.
	demandWindow = 10 * time.Second
	// demandTolerance is the relative change of the demand below which the weights stay.
	demandTolerance = 0.15
	// limitUse is the fraction of a limited target's rate that is planned for it. The rest
	// absorbs the irregular arrivals.
	limitUse = 0.85
	// maxLimitedChoices is the number of targets that may take a prompt while targets of its
	// service are limited. Any other would compute its parts again at a time when all are
	// busy, which takes more than it serves.
	maxLimitedChoices = 2
	// fullRetryAfter is the time after which a request may be sent again that its first
	// choices could not take.
	fullRetryAfter = 500 * time.Millisecond
	// weightSteps is the number of steps of a weight. Routers whose estimates of the demand
	// differ a little then use the same weight.
	weightSteps = 16
)

// demand counts this router's requests of one service.
type demand struct {
	started  time.Time
	requests windowCount
	// planned is the rate for which the weights are set.
	planned float64
}

// perSecond returns the rate of the requests for which weights are set. It follows the present
// rate only if that differs by more than demandTolerance, because each change of the weights
// moves prompts to targets that have not cached them.
func (d *demand) perSecond(now time.Time) float64 {
	d.requests.advance(now, demandWindow/windowBuckets)
	covered := demandWindow - demandWindow/windowBuckets + now.Sub(d.requests.bucketStart)
	length := max(time.Second, min(covered, now.Sub(d.started)))
	rate := float64(d.requests.sum()) / length.Seconds()
	if math.Abs(rate-d.planned) > demandTolerance*d.planned {
		d.planned = rate
	}
	return d.planned
}

// SetLimits sets the function that returns the rate limits that targets name, in requests per
// second, by load key; nil if there are none. The function must not call the balancer, and the
// map must not change.
func (b *Balancer) SetLimits(limits func() map[uint32]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// RecordRequest counts a request for a service, before its first selection.
func (b *Balancer) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	d := b.demands[service]
	if d == nil {
		d = &demand{started: now}
		b.demands[service] = d
	}
	d.requests.advance(now, demandWindow/windowBuckets)
	d.requests.add(1)
}

// setPromptWeights sets the weights of the limited candidates of a service. The weights divide
// the prompts among the targets so that a limited one is the first choice for about as many
// requests as it takes. Otherwise each of its prompts would be computed at two targets by
// turns.
func (b *Balancer) setPromptWeights(now time.Time, service string, all []*candidate) {
	limits := b.limits()
	if len(limits) == 0 {
		return
	}
	unlimited, sum, most := 0, 0.0, 0.0
	for _, c := range all {
		limit, limited := limits[LoadKey(c.status)]
		switch {
		case c.leaving || c.evacuated:
		case limited:
			sum += limitUse * limit
			most = max(most, limit)
		default:
			unlimited++
		}
	}
	// full is the rate of a target with the weight one.
	full := limitUse * most
	if d := b.demands[service]; d != nil && unlimited > 0 {
		total := d.perSecond(now) * float64(max(1, len(ServingRouters(b.view.Routers()))))
		full = (total - sum) / float64(unlimited)
	}
	for _, c := range all {
		if limit, limited := limits[LoadKey(c.status)]; limited && full > 0 {
			steps := math.Round(weightSteps * limitUse * limit / full)
			c.limitedWeight = min(1, max(1, steps)/weightSteps)
		}
	}
}
