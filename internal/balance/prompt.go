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
	// mean is the number over the last second or so, or the own requests if there
	// are more.
	mean     float64
	capacity int
	// sound tells that the target served its last requests, partly that it serves some;
	// leaving that it takes no new ones; excluded that it failed this request.
	sound    bool
	partly   bool
	leaving  bool
	excluded bool
	// paused is how much longer the target wants no requests from this router; zero or
	// less if it takes them.
	paused time.Duration
}

func (c *candidate) eligible() bool { return !c.leaving && !c.excluded && c.paused <= 0 }

// placed is the target for a request and the one to copy cached parts of its
// prompt from; nil where there is none.
type placed struct {
	target *candidate
	holder *candidate
	why    string
	// crowded tells that counts too old for the request chose the target.
	crowded bool
}

// choosePrompt places a prompt by rendezvous hashing with a bound on each
// target's load. All routers rank the targets of a key alike, so that requests
// with equal parts meet at one target without any message. The load pattern
// that it answers: many sessions of unequal size, of which each router sees a
// few requests, on targets that join and leave.
func choosePrompt(key string, all []*candidate) placed {
	ranked := rankByKey(key, all)
	limit := promptLimit(all)
	var p placed
	for _, c := range ranked {
		if c.eligible() && c.sound && c.inFlight < min(limit, c.capacity) {
			p = placed{target: c, why: "cached parts are expected here"}
			break
		}
	}
	if p.target == nil {
		p = placed{target: leastLoaded(ranked), why: "every target is at its bound; this one has the fewest requests"}
	}
	p.holder = firstHolder(ranked, p.target)
	if p.target != nil && p.holder != nil && rankOf(ranked, p.holder) < rankOf(ranked, p.target) {
		p.why = "targets ranked higher are at their bound, leaving or failing"
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

// promptLimit returns the most requests in flight that a target may have to be
// given one more: a multiple of the mean over all targets, those that leave and
// their successors included, since the platform counts both. A successor starts
// before its predecessor leaves and may not be known yet. The bound is never below
// what the staying ones have to carry in the mean.
func promptLimit(all []*candidate) int {
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
		if c != target && c.sound && !c.excluded {
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
		if best == nil || c.sound && !best.sound || c.sound == best.sound && c.inFlight < best.inFlight {
			best = c
		}
	}
	return best
}
