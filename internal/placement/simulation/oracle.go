package simulation

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// oracle is the reference to which the other strategies are compared. It knows the
// current cache contents and requests in flight of each engine, without delay. It applies
// the load bound and admits as ownerAdmission does, but its knowledge is not lost if the
// owner changes.
type oracle struct{ *ownerAdmission }

func newOracle(r *run) oracle {
	cfg := poolConfig(0, 1)
	cfg.Placer = oracleChooser{run: r}
	return oracle{ownerAdmission: newOwnerAdmissionWithConfig(r, cfg)}
}

func (oracle) splitView(bool)     {}
func (oracle) addTraffic(*Result) {}

func (oracle) cacheEvents(int, uint64, uint64, []placement.CacheEvent) bool { return false }

// oracleChooser selects the least loaded engine that has the chat's prefix cached, or the
// least loaded of all engines if none has.
type oracleChooser struct{ run *run }

// Choose implements pool.Placer with the actual contents of the engines' caches.
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
