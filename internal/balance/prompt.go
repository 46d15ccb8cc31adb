package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// promptLoadFactor and promptLoadSlack bound the requests in flight at one
	// target as a multiple of the mean plus a constant for small numbers. Within
	// them a prompt stays where its parts are cached, since reading them again
	// takes more of an engine than a longer batch.
	promptLoadFactor = 1.7
	promptLoadSlack  = 2
)

// candidate is one target that may be chosen.
type candidate struct {
	status *pb.TargetStatus
	// inFlight counts the requests at the target, as known here.
	inFlight int
	// meanInFlight is the number over the last second or so, or the own requests if there
	// are more.
	meanInFlight float64
	capacity     int
	// healthy tells that the target served its last requests, partly that it serves some;
	// leaving that it takes no new ones; excluded that it failed this request.
	healthy  bool
	degraded bool
	leaving  bool
	excluded bool
	// pausedFor is how much longer the target wants no requests from this router; zero or
	// less if it takes them.
	pausedFor time.Duration
}

func (c *candidate) eligible() bool { return !c.leaving && !c.excluded && c.pausedFor <= 0 }

// selection is the target for a request and the one to copy cached parts of its
// prompt from; nil where there is none.
type selection struct {
	target *candidate
	holder *candidate
	reason string
	// staleLoad tells that counts too old for the request chose the target.
	staleLoad bool
}

// selectByPromptKey places a prompt by rendezvous hashing with a bound on each
// target's load. All routers rank the targets of a key alike, so that requests
// with equal parts meet at one target without any message. The load pattern
// that it answers: many sessions of unequal size, of which each router sees a
// few requests, on targets that join and leave.
func selectByPromptKey(key string, all []*candidate) selection {
	ranked := rankByKey(key, all)
	limit := promptLoadLimit(all)
	var p selection
	for _, c := range ranked {
		if c.eligible() && c.healthy && c.inFlight < min(limit, c.capacity) {
			p = selection{target: c, reason: "cached parts are expected here"}
			break
		}
	}
	if p.target == nil {
		p = selection{target: leastLoaded(ranked), reason: "every target is at its bound; this one has the fewest requests"}
	}
	p.holder = firstHolder(ranked, p.target)
	if p.target != nil && p.holder != nil && rankOf(ranked, p.holder) < rankOf(ranked, p.target) {
		p.reason = "targets ranked higher are at their bound, leaving or failing"
	}
	return p
}

func rankByKey(key string, all []*candidate) []*candidate {
	scores := make(map[*candidate]uint64, len(all))
	for _, c := range all {
		scores[c] = fleet.Score(key, c.status.Id)
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b *candidate) int { return cmp.Compare(scores[b], scores[a]) })
	return ranked
}

func rankOf(ranked []*candidate, c *candidate) int { return slices.Index(ranked, c) }

// promptLoadLimit returns the most requests in flight that a target may have to be
// given one more: a multiple of the mean over all targets, those that leave and
// their successors included, since the platform counts both. A successor starts
// before its predecessor leaves and may not be known yet. The bound is never below
// what the staying ones have to carry in the mean.
func promptLoadLimit(all []*candidate) int {
	total, staying, stayingTotal := 1, 0, 1
	for _, c := range all {
		total += c.inFlight
		if !c.leaving {
			staying++
			stayingTotal += c.inFlight
		}
	}
	if staying == 0 {
		return 0
	}
	successors := len(all) - staying
	bound := promptLoadFactor * float64(total) / float64(len(all)+successors)
	least := float64(stayingTotal) / float64(staying)
	return int(max(bound, least)) + promptLoadSlack
}

// firstHolder returns the highest ranked other target that can be copied from.
// One that leaves still holds what it had.
func firstHolder(ranked []*candidate, target *candidate) *candidate {
	for _, c := range ranked {
		if c != target && c.healthy && !c.excluded {
			return c
		}
	}
	return nil
}

// leastLoaded returns the eligible target with the fewest requests in flight, a
// sound one if there is any; nil without eligible ones. Among equals the first
// in order wins.
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
