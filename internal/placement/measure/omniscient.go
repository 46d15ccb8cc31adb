package measure

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// oracle knows what each engine holds and has in flight at this moment. It
// keeps the load bound and admits as the others do, at a home whose
// directory can't be lost.
type oracle struct{ *ownerAdmission }

func newOracle(r *run) oracle {
	cfg := poolConfig(0, 1)
	cfg.Placer = oracleChooser{run: r}
	return oracle{ownerAdmission: newOwnerAdmissionWithConfig(r, cfg)}
}

func (oracle) splitView(bool)     {}
func (oracle) addTraffic(*Result) {}

func (oracle) cacheEvents(int, uint64, uint64, []placement.CacheEvent) bool { return false }

// oracleChooser takes the least loaded engine that holds the prefix, or of all.
type oracleChooser struct{ run *run }

// Choose looks into the engines' caches.
func (p oracleChooser) Choose(_ time.Time, k placement.Key, engines []placement.Engine) placement.Choice {
	total := 1
	for i := range engines {
		total += engines[i].InFlight
	}
	limit := placement.LoadLimit(placement.DefaultBoundFactor, total, len(engines))
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
	return placement.Choice{Index: best, Reason: placement.ReasonTopScore}
}
