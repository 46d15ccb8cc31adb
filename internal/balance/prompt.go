package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// promptLoadFactor and promptLoadSlack bound the requests in flight at one target
	// to a multiple of the mean plus a constant for small numbers. Below the bound a
	// prompt stays at the target that has its prefix cached, because computing the
	// prefix again costs an engine more than a larger batch.
	promptLoadFactor = 1.7
	promptLoadSlack  = 2
)

// candidate is the state of one target during a selection.
type candidate struct {
	status *pb.TargetStatus
	// inFlight counts the requests at the target as known to this router.
	inFlight int
	// meanInFlight is the average over about one second, or the number of this
	// router's own requests if that is larger.
	meanInFlight float64
	capacity     int
	// healthy is set if the target is not ejected or may receive a probe request,
	// degraded if it serves some of its requests, leaving if it accepts no new
	// requests, and excluded if it failed this request.
	healthy  bool
	degraded bool
	leaving  bool
	excluded bool
	// pausedFor is the rest of the pause that the target requested from this router;
	// zero or less if it accepts requests.
	pausedFor time.Duration
}

func (c *candidate) eligible() bool { return !c.leaving && !c.excluded && c.pausedFor <= 0 }

// selection is the target for a request and the target from which cached parts of its
// prompt can be copied. Each is nil if there is none.
type selection struct {
	target      *candidate
	cacheHolder *candidate
	reason      string
	// staleLoad has the meaning of Choice.StaleLoad.
	staleLoad bool
}

// selectByPromptKey selects a target by rendezvous hashing with bounded loads. All
// routers rank the targets of a key alike, so requests with a common prefix meet at
// one target without coordination. The method suits many sessions of unequal size, of
// which each router sees only a few requests, on targets that join and leave.
func selectByPromptKey(key string, all []*candidate) selection {
	ranked := rankByKey(key, all)
	limit := promptLoadLimit(all)
	var chosen selection
	for _, c := range ranked {
		if c.eligible() && c.healthy && c.inFlight < min(limit, c.capacity) {
			chosen = selection{target: c, reason: "cached parts are expected here"}
			break
		}
	}
	if chosen.target == nil {
		chosen = selection{target: leastLoaded(ranked), reason: "every target is at its bound; this one has the fewest requests"}
	}
	chosen.cacheHolder = topCacheHolder(ranked, chosen.target)
	if chosen.target != nil && chosen.cacheHolder != nil && rankOf(ranked, chosen.cacheHolder) < rankOf(ranked, chosen.target) {
		chosen.reason = "targets ranked higher are at their bound, leaving or failing"
	}
	return chosen
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

// promptLoadLimit returns the number of requests in flight below which a target may
// receive another one: a multiple of the mean over all targets. Leaving targets and
// their successors count in the mean, since the platform counts both; a successor
// starts before its predecessor leaves and may not be known yet. The limit is never
// below the mean load of the targets that stay.
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

// topCacheHolder returns the highest ranked other target from which cached parts can be
// copied; nil if there is none. A leaving target still has its cache.
func topCacheHolder(ranked []*candidate, target *candidate) *candidate {
	for _, c := range ranked {
		if c != target && c.healthy && !c.excluded {
			return c
		}
	}
	return nil
}

// leastLoaded returns the eligible target with the fewest requests in flight, a
// healthy one if there is any; nil if no target is eligible. Among equals the first in
// order wins.
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
