package balance

const (
	// lightLoad is the share of a target's places up to which a target of this
	// data centre is taken without looking further.
	lightLoad = 0.34
	// restLoad keeps the weight of an idle target finite.
	restLoad = 1
)

// choosePlain places a request without a prompt. A lightly loaded target of this
// data centre takes it; otherwise targets are drawn at random, the less loaded
// over the last second the more often. The load pattern that it answers: many
// routers with short requests, whose counts reach each other later than the
// requests end. If all took the target with the fewest requests, all would take
// the same one.
func choosePlain(all []*candidate, dataCentre string, draw func() float64) placed {
	pool := plainPool(all)
	if len(pool) == 0 {
		return placed{}
	}
	for _, c := range pool {
		if distance(c, dataCentre) == 0 && c.share() <= lightLoad {
			return placed{target: c, why: "lightly loaded in this data centre"}
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
			return drawn(c)
		}
	}
	return drawn(pool[len(pool)-1])
}

// drawn is a target that was drawn by load. A single one counts as crowded too:
// after the others have left it is asked for what all served.
func drawn(c *candidate) placed {
	return placed{target: c, why: "drawn by load", crowded: true}
}

// plainPool returns the eligible targets that are sound, or all eligible ones if
// none is.
func plainPool(all []*candidate) []*candidate {
	var sound, eligible []*candidate
	for _, c := range all {
		if !c.eligible() {
			continue
		}
		eligible = append(eligible, c)
		if c.sound {
			sound = append(sound, c)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return eligible
}

// share is the part of the target's places that is taken.
func (c *candidate) share() float64 { return float64(c.inFlight) / float64(c.capacity) }

// weight falls with the mean load.
func (c *candidate) weight() float64 { return 1 / (restLoad + c.mean/float64(c.capacity)) }
