package balance

const (
	// lightUtilization is the utilization up to which a target of this data centre is
	// selected without comparing its load with that of other targets.
	lightUtilization = 0.34
	// idleWeightOffset is added to the relative load in the denominator of the weight.
	// It keeps the weight of an idle target finite.
	idleWeightOffset = 1
)

// selectByLoad selects a target for a request without a prompt: a lightly loaded target
// of this data centre, or else a target by weighted random choice, whose weights
// decrease with the mean load over the last second. The random choice protects against
// a thundering herd: with many routers and short requests, the counts reach the other
// routers only after the requests have ended, and if every router selected the target
// with the fewest requests, all would select the same one. draw returns a random number
// in [0, 1). A cold target is selected less often by its weight.
func selectByLoad(all []*candidate, dataCentre string, draw func() float64) selection {
	pool := preferredPool(all)
	if len(pool) == 0 {
		return selection{}
	}
	for _, c := range pool {
		light := distance(c, dataCentre) == 0 && c.utilization() <= lightUtilization && !c.slow()
		if light && (c.coldWeight == 0 || draw() < c.coldWeight) {
			return selection{target: c, reason: "lightly loaded in this data centre"}
		}
	}
	total := 0.0
	for _, c := range pool {
		total += c.drawWeight()
	}
	left := draw() * total
	for _, c := range pool {
		left -= c.drawWeight()
		if left < 0 {
			return randomSelection(c)
		}
	}
	return randomSelection(pool[len(pool)-1])
}

// randomSelection returns the selection of a target by weighted random choice. It sets
// staleLoad even if the target is the only one of the service: after the other targets
// have left, the last one receives the requests of all of them, and the owner must limit
// how many it admits.
func randomSelection(c *candidate) selection {
	return selection{target: c, reason: "drawn by load", staleLoad: true}
}

// preferredPool returns the eligible targets that are healthy, or all eligible ones if
// none is healthy.
func preferredPool(all []*candidate) []*candidate {
	var healthy, eligible []*candidate
	for _, c := range all {
		if !c.eligible() {
			continue
		}
		eligible = append(eligible, c)
		if c.healthy {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return eligible
}

// utilization is the target's requests in flight as a fraction of its capacity.
func (c *candidate) utilization() float64 { return float64(c.inFlight) / float64(c.capacity) }

// drawWeight is the weight of the target in the random choice. It decreases with the mean
// load and the pace of the target, and is lower for a cold one.
func (c *candidate) drawWeight() float64 {
	return orOne(c.coldWeight) * c.paceWeight() / (idleWeightOffset + c.meanInFlight/float64(c.capacity))
}
