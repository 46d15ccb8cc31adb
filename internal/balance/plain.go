package balance

const (
	// lightUtilization is the share of a target's places up to which a target of this
	// data centre is taken without looking further.
	lightUtilization = 0.34
	// idleWeightOffset keeps the weight of an idle target finite.
	idleWeightOffset = 1
)

// selectByLoad places a request without a prompt. A lightly loaded target of this
// data centre takes it; otherwise targets are drawn at random, the less loaded
// over the last second the more often. The load pattern that it answers: many
// routers with short requests, whose counts reach each other later than the
// requests end. If all took the target with the fewest requests, all would take
// the same one.
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

// randomSelection is a target that was drawn by load. A single one counts as crowded too:
// after the others have left it is asked for what all served.
func randomSelection(c *candidate) selection {
	return selection{target: c, reason: "drawn by load", staleLoad: true}
}

// preferredPool returns the eligible targets that are sound, or all eligible ones if
// none is.
func preferredPool(all []*candidate) []*candidate {
	var sound, eligible []*candidate
	for _, c := range all {
		if !c.eligible() {
			continue
		}
		eligible = append(eligible, c)
		if c.healthy {
			sound = append(sound, c)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return eligible
}

// utilization is the part of the target's places that is taken.
func (c *candidate) utilization() float64 { return float64(c.inFlight) / float64(c.capacity) }

// weight falls with the mean load.
func (c *candidate) weight() float64 {
	return 1 / (idleWeightOffset + c.meanInFlight/float64(c.capacity))
}
