package measure

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// omniscient knows what each engine holds and has in flight at this moment. It
// keeps the load bound and admits as the others do, at a home whose
// directory can't be lost.
type omniscient struct{ *home }

func newOmniscient(r *run) omniscient {
	cfg := poolConfig(0, 1)
	cfg.Placer = exactPlacer{run: r}
	return omniscient{home: newHomeWith(r, cfg)}
}

func (omniscient) disagree(bool)      {}
func (omniscient) addTraffic(*Result) {}

func (omniscient) cacheEvents(int, uint64, uint64, []placement.CacheEvent) bool { return false }

// exactPlacer takes the least loaded engine that holds the prefix, or of all.
type exactPlacer struct{ run *run }

// Choose looks into the engines' caches.
func (p exactPlacer) Choose(_ time.Time, k placement.Key, engines []placement.Engine) placement.Choice {
	total := 1
	for i := range engines {
		total += engines[i].InFlight
	}
	limit := placement.Limit(placement.DefaultBoundFactor, total, len(engines))
	best, bestHolds := -1, false
	for i := range engines {
		e := &engines[i]
		if e.Blocked || e.InFlight >= limit || e.InFlight >= e.Capacity {
			continue
		}
		holds := p.run.engines[p.run.index[e.ID]].holds(k)
		if best < 0 || (holds && !bestHolds) || (holds == bestHolds && e.InFlight < engines[best].InFlight) {
			best, bestHolds = i, holds
		}
	}
	return placement.Choice{Index: best, Why: placement.WhyDefault}
}
