package member

import (
	"math"
	"time"
)

const (
	// probeBudgetShare is the share of the budget that probes and acknowledgements may
	// take in the long run; the rest is left for leases and announcements.
	probeBudgetShare = 0.7
	// ewmaWeight is the weight of the last probe interval in the EWMA.
	ewmaWeight = 0.125
	// leaseDivisor sets how fast a proof of life must pass through the fleet: within
	// the lease on the target divided by leaseDivisor.
	leaseDivisor = 10
	// agreementDelay is the time without an acknowledgement that carries a different
	// digest after which views count as agreeing.
	agreementDelay = 2 * time.Second
	// maxProbeInterval limits how far probing slows down to keep within the budget
	// share.
	maxProbeInterval = 500 * time.Millisecond
)

// probePacer keeps an EWMA of the bytes of probes and acknowledgements that this router
// sends per probe interval, and derives the shortest probe interval that the budget
// allows. Piggybacked updates and syncs are not counted, because their volume varies.
// Without the pacer, a fleet whose acknowledgements outgrow the budget would have them
// refused at random, and leases would expire.
type probePacer struct {
	rate            float64
	bytesSinceProbe int
	meanBytes       float64
}

func newProbePacer(rate int) probePacer { return probePacer{rate: probeBudgetShare * float64(rate)} }

func (p *probePacer) record(bytes int) { p.bytesSinceProbe += bytes }

// endInterval ends one probe interval.
func (p *probePacer) endInterval() {
	p.meanBytes += ewmaWeight * (float64(p.bytesSinceProbe) - p.meanBytes)
	p.bytesSinceProbe = 0
}

// minInterval returns the minimum time between probes that the budget share allows.
func (p *probePacer) minInterval() time.Duration {
	if p.rate == 0 {
		return 0
	}
	return min(maxProbeInterval, time.Duration(p.meanBytes/p.rate*float64(time.Second)))
}

// probeInterval returns the time to the next probe. It decreases as the fleet grows, as
// far as the budget allows, because proofs of life and updates pass a number of routers
// that grows with the logarithm of the fleet's size. While views agree, it is enough
// that proofs of life pass through the fleet within the lease divided by leaseDivisor.
func (c *core) probeInterval(now time.Time) time.Duration {
	steps := math.Log2(max(smallFleet, float64(len(c.routers)+1)))
	interval := time.Duration(float64(c.intervals.Probe) * math.Log2(smallFleet) / steps)
	if now.Sub(c.lastMismatch) > agreementDelay {
		needed := time.Duration(float64(c.intervals.TargetLease) / leaseDivisor / steps)
		interval = max(interval, min(c.intervals.Probe, needed))
	}
	return max(interval, c.pacer.minInterval())
}
