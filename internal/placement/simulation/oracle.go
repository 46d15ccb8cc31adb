package simulation

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// oracle is the upper reference: it knows the current cache contents and requests in
// flight of each engine. It applies the load bound and admits as the other strategies
// do, at an owner whose directory is never lost.
type oracle struct{ *ownerAdmission }

func newOracle(r *run) oracle {
	cfg := poolConfig(0, 1)
	cfg.Placer = oracleChooser{run: r}
	return oracle{ownerAdmission: newOwnerAdmissionWithConfig(r, cfg)}
}

func (oracle) splitView(bool)     {}
func (oracle) addTraffic(*Result) {}

func (oracle) cacheEvents(int, uint64, uint64, []placement.CacheEvent) bool { return false }

// oracleChooser selects the least loaded engine that has the prefix cached, or the
// least loaded of all if none has.
type oracleChooser struct{ run *run }

// Choose selects an engine by the actual contents of the engines' caches.
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
		holds := p.run.engines[p.run.index[e.ID]].hasCached(k)
		if best < 0 || (holds && !bestHolds) || (holds == bestHolds && e.InFlight < engines[best].InFlight) {
			best, bestHolds = i, holds
		}
	}
	return placement.Choice{Index: best, Reason: placement.ReasonTopScore}
}
