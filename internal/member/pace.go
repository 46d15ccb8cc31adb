package member

import (
	"math"
	"time"
)

const (
	// paceShare is the share of the budget that probing and its answers may
	// take for long; the rest is left to leases and announcements.
	paceShare = 0.7
	// paceWeight is the weight of the last probe interval in the mean.
	paceWeight = 0.125
	// leasePart divides the lease on a target: in one part a proof of its life passes
	// through the fleet.
	leasePart = 10
	// agreeAfter is how long no answer may have shown another view for views to count
	// as agreeing.
	agreeAfter = 2 * time.Second
	// maxProbeInterval bounds the slowdown.
	maxProbeInterval = 500 * time.Millisecond
)

// pace keeps the mean of what this router sends from one probe to the next,
// without news and syncs, which come and go.
// Without it, a fleet whose answers outgrow the budget would have them cut
// short at random, and leases with them.
type pace struct {
	rate  float64
	since int
	mean  float64
}

func newPace(rate int) pace { return pace{rate: paceShare * float64(rate)} }

func (p *pace) sent(bytes int) { p.since += bytes }

// probed ends one interval.
func (p *pace) probed() {
	p.mean += paceWeight * (float64(p.since) - p.mean)
	p.since = 0
}

// interval is the least time between probes that the share allows.
func (p *pace) interval() time.Duration {
	if p.rate == 0 {
		return 0
	}
	return min(maxProbeInterval, time.Duration(p.mean/p.rate*float64(time.Second)))
}

// probeInterval shrinks as the fleet grows, as far as the budget allows, since proof
// of a target's life and news pass a number of routers that grows with the logarithm
// of their number. While views agree, proof need only pass within the leasePart-th
// part of a lease.
func (c *core) probeInterval(now time.Time) time.Duration {
	steps := math.Log2(max(smallFleet, float64(len(c.routers)+1)))
	interval := time.Duration(float64(c.iv.Probe) * math.Log2(smallFleet) / steps)
	if now.Sub(c.differedAt) > agreeAfter {
		needed := time.Duration(float64(c.iv.TargetLease) / leasePart / steps)
		interval = max(interval, min(c.iv.Probe, needed))
	}
	return max(interval, c.pace.interval())
}
