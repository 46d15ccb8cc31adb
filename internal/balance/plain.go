package balance

const (
	// lightUtilization is the utilization up to which a target of this data centre is
	// selected without comparing it with others.
	lightUtilization = 0.34
	// idleWeightOffset keeps the weight of an idle target finite.
	idleWeightOffset = 1
)

// selectByLoad selects a target for a request without a prompt: a lightly loaded
// target of this data centre, or else a target at random, weighted by the inverse of
// its mean load over the last second. The random selection protects against a
// thundering herd. With many routers and short requests the counts reach the other
// routers only after the requests have ended; if every router selected the target with
// the fewest requests, all would select the same one.
func selectByLoad(all []*candidate, dataCentre string, draw func() float64) selection {
	pool := preferredPool(all)
	if len(pool) == 0 {
		return selection{}
	}
	for _, c := range pool {
		if distance(c, dataCentre) == 0 && c.utilization() <= lightUtilization {
			return selection{target: c, reason: "lightly loaded in this data centre"}
		}
	}
	total := 0.0
	for _, c := range pool {
		total += c.weight()
	}
	left := draw() * total
	for _, c := range pool {
		left -= c.weight()
		if left < 0 {
			return randomSelection(c)
		}
	}
	return randomSelection(pool[len(pool)-1])
}

// randomSelection returns the selection of a target drawn at random by load. staleLoad
// is set even if the target is the only one: after the other targets have left, it
// receives the requests of all of them.
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

// utilization is the fraction of the target's capacity in use.
func (c *candidate) utilization() float64 { return float64(c.inFlight) / float64(c.capacity) }

// weight decreases with the target's mean load.
func (c *candidate) weight() float64 {
	return 1 / (idleWeightOffset + c.meanInFlight/float64(c.capacity))
}
