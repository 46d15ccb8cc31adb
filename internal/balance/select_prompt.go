package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// promptLoadFactor and promptLoadSlack define the load bound: the requests in
	// flight at one target may reach a multiple of the mean plus a constant for small
	// numbers. Below the bound, requests are sent to the target that has their prefix
	// cached, because computing the prefix again costs an engine more than running a
	// larger batch.
	promptLoadFactor = 1.7
	promptLoadSlack  = 2
)

// candidate is the state of one target during a selection.
type candidate struct {
	status *pb.TargetStatus
	// inFlight counts the requests at the target as known to this router.
	inFlight int
	// meanInFlight is the moving average of the requests at the target over about one
	// second, or this router's present number of requests there if that is larger.
	meanInFlight float64
	capacity     int
	// healthy is set if the target is not ejected or may receive a probe request.
	healthy bool
	// degraded has the meaning of health.degraded.
	degraded bool
	// leaving is set if the target accepts no new requests.
	leaving bool
	// evacuated is set if the target's data centre is evacuated, so that the target gets no
	// new requests.
	evacuated bool
	// excluded is set if the request already failed at the target or excludes it because of
	// its limit.
	excluded bool
	// memoryFull is set if the target has no memory for the request.
	memoryFull bool
	// pausedFor is the time until the end of the pause that the target requested from
	// this router; zero or less if there is none.
	pausedFor time.Duration
	// withheldFor is the time for which the target is at the rate limit that it names; zero
	// or less if it is not.
	withheldFor time.Duration
	// limitedWeight is the part of the prompts that a limited target gets, relative to an
	// unlimited one: between 0 and 1, or zero if the target is not limited.
	limitedWeight float64
	// coldRate is the rate of requests that the target gets from all routers while it is
	// cold; zero if it is not cold. coldWeight is the part of the requests that is planned
	// for it, with the meaning of limitedWeight.
	coldRate   float64
	coldWeight float64
	// expected is nil if the target is selected by numbers of requests only.
	expected *expectation
}

// eligible reports whether the target accepts the request, healthy or not.
func (c *candidate) eligible() bool {
	return !c.leaving && !c.evacuated && !c.excluded && !c.memoryFull && c.pausedFor <= 0 && c.withheldFor <= 0
}

// weight returns the target's part of the prompts, relative to a target that is neither limited
// nor cold.
func (c *candidate) weight() float64 {
	return min(orOne(c.limitedWeight), orOne(c.coldWeight))
}

// orOne returns a weight, or one if it is not set.
func orOne(weight float64) float64 {
	if weight == 0 {
		return 1
	}
	return weight
}

// selection is the result of a selection. Each candidate is nil if there is none.
type selection struct {
	target *candidate
	// cacheHolder has the meaning of Choice.CacheHolder.
	cacheHolder *candidate
	reason      string
	// staleLoad has the meaning of Choice.StaleLoad.
	staleLoad bool
	// full is set if no target is selected because the first choices for the prompt are full
	// while others are limited.
	full bool
	// uncached is set if the shared parts of the prompt are not expected to be cached at the
	// target.
	uncached bool
}

// selectByPromptKey selects a target by rendezvous hashing with bounded loads. All
// routers rank the targets for a key alike, so requests with a common prefix are sent to
// the same target without coordination. The method handles many sessions of unequal
// size, of which each router sees only a few requests, on targets that join and leave.
func selectByPromptKey(key string, all []*candidate) selection {
	byKey := rankByKey(key, all)
	ranked := byKey
	limited := slices.ContainsFunc(all, func(c *candidate) bool { return orOne(c.limitedWeight) < 1 })
	if limited || slices.ContainsFunc(all, func(c *candidate) bool { return c.weight() < 1 }) {
		ranked = rankByWeight(key, all)
	}
	open := slices.DeleteFunc(slices.Clone(ranked), func(c *candidate) bool { return !c.eligible() || !c.healthy })
	if limited {
		open = open[:min(len(open), maxLimitedChoices)]
	}
	limit := promptLoadLimit(all)
	first, best := chooseBelowBound(open, func(c *candidate) int { return min(limit, c.capacity) })
	if best == nil && !limited {
		// If all targets are at their capacities, the bound without them still applies: the
		// target with the fewest requests is the same one at all routers until the next
		// counts arrive, and would get the requests of all of them.
		first, best = chooseBelowBound(open, func(*candidate) int { return limit })
	}
	var chosen selection
	if best != nil {
		chosen = selection{target: best, reason: "cached parts are expected here"}
	}
	if chosen.target == nil && limited && len(open) > 0 {
		return selection{full: true}
	}
	if chosen.target == nil {
		chosen = selection{target: leastLoaded(ranked), reason: "every target is at its bound; this one has the fewest requests"}
	}
	// The targets that had the prompts before some were limited still have them cached.
	chosen.cacheHolder = topCacheHolder(byKey, chosen.target)
	if chosen.target != nil && chosen.cacheHolder != nil && rankOf(ranked, chosen.cacheHolder) < rankOf(ranked, chosen.target) {
		chosen.reason = "targets ranked higher are at their bound or limit, leaving, evacuated or failing"
		chosen.uncached = true
	}
	if best != first {
		chosen.reason = costReason(first, best)
	}
	return chosen
}

// rankByKey returns the candidates by their rendezvous score for key, the highest first.
func rankByKey(key string, all []*candidate) []*candidate {
	return rankByScore(all, func(c *candidate) float64 { return hashFraction(key, c) })
}

// rankByWeight returns the candidates by their score for key in weighted rendezvous hashing,
// the highest first: each is the first for a part of the keys that is proportional to its
// weight. With equal weights the order is that of rankByKey.
func rankByWeight(key string, all []*candidate) []*candidate {
	return rankByScore(all, func(c *candidate) float64 { return math.Log(hashFraction(key, c)) / c.weight() })
}

// hashFraction returns the rendezvous score of a candidate as a number between 0 and 1.
func hashFraction(key string, c *candidate) float64 {
	return (float64(fleet.Score(key, c.status.Id)) + 0.5) / (1 << 64)
}

func rankByScore(all []*candidate, score func(*candidate) float64) []*candidate {
	scores := make(map[*candidate]float64, len(all))
	for _, c := range all {
		scores[c] = score(c)
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b *candidate) int { return cmp.Compare(scores[b], scores[a]) })
	return ranked
}

func rankOf(ranked []*candidate, c *candidate) int { return slices.Index(ranked, c) }

// promptLoadLimit returns the load bound: the number of requests in flight below which a
// target may receive another one. The bound is a multiple of the mean over all targets.
// Leaving targets and one successor for each of them count in the mean, since the load
// bound that the users' platform sets (docs/design/load.md) counts both; a successor
// starts before its predecessor leaves and may not be known to this router yet. The limit
// is never below the mean load of the targets that are not leaving, since these must
// carry all requests.
//
// Evacuated targets count like leaving ones without a successor: the mean is taken over the
// same targets before and during an evacuation.
//
// A target counts in the means by its prompt weight, since a limited one takes a part of the
// requests only.
func promptLoadLimit(all []*candidate) int {
	total, stayingTotal := 1, 1
	weights, stayingWeights, successors := 0.0, 0.0, 0
	for _, c := range all {
		total += c.inFlight
		weights += c.weight()
		if c.leaving && !c.evacuated {
			successors++
		}
		if c.leaving || c.evacuated {
			continue
		}
		stayingTotal += c.inFlight
		stayingWeights += c.weight()
	}
	if stayingWeights == 0 {
		return 0
	}
	bound := promptLoadFactor * float64(total) / (weights + float64(successors))
	stayingMean := float64(stayingTotal) / stayingWeights
	return int(max(bound, stayingMean)) + promptLoadSlack
}

// topCacheHolder returns the highest ranked target other than the selected one from
// which cached parts of the prompt can be copied; nil if there is none. Leaving targets
// are included, since they still have their cache. Targets of evacuated data centres are not.
func topCacheHolder(ranked []*candidate, target *candidate) *candidate {
	for _, c := range ranked {
		if c != target && c.healthy && !c.excluded && !c.evacuated {
			return c
		}
	}
	return nil
}

// leastLoaded returns the target with the fewest requests in flight, of the healthy
// eligible targets or, if there are none, of all eligible ones; nil if no target is
// eligible. Of targets with equal numbers, the first in the list is returned.
func leastLoaded(all []*candidate) *candidate {
	var best *candidate
	for _, c := range all {
		if !c.eligible() {
			continue
		}
		if best == nil || c.healthy && !best.healthy || c.healthy == best.healthy && c.inFlight < best.inFlight {
			best = c
		}
	}
	return best
}
