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

// probeInterval shrinks as the fleet grows, since proof of a target's life
// passes a number of routers that grows with the logarithm of their number,
// as far as the budget allows.
func (c *core) probeInterval() time.Duration {
	size := max(smallFleet, float64(len(c.routers)+1))
	scaled := float64(c.iv.Probe) * math.Log2(smallFleet) / math.Log2(size)
	return max(time.Duration(scaled), c.pace.interval())
}
