package configlease

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

// evacuations holds the set of evacuated data centres. Only the goroutine of Run writes it.
type evacuations struct {
	current  atomic.Pointer[pb.Evacuations]
	count    tally.Gauge
	revision tally.Gauge
}

func newEvacuations(scope tally.Scope) evacuations {
	return evacuations{count: scope.Gauge("evacuated_data_centres"), revision: scope.Gauge("evacuations_revision")}
}

// Evacuations returns the set of evacuated data centres, or nil if there never was one. The
// set stays known when the lease is lost. The message is shared and must not be modified.
func (h *Holder) Evacuations() *pb.Evacuations { return h.evacuations.current.Load() }

// Evacuated reports whether a data centre is evacuated.
func (h *Holder) Evacuated(dataCentre string) bool {
	return state.Evacuated(h.Evacuations(), dataCentre)
}

// applyEvacuations replaces the set if the one in a reply is newer.
func (h *Holder) applyEvacuations(set *pb.Evacuations, leader string) {
	if set.GetRevision() <= h.Evacuations().GetRevision() {
		return
	}
	h.evacuations.current.Store(set)
	h.evacuations.count.Update(float64(len(set.Evacuated)))
	h.evacuations.revision.Update(float64(set.Revision))
	names := make([]string, 0, len(set.Evacuated))
	for _, e := range set.Evacuated {
		names = append(names, e.DataCentre)
	}
	h.cfg.Logger.Info().Str("step", "evacuations").Str("peer", leader).Uint64("revision", set.Revision).
		Strs("data_centres", names).Msg("a set of evacuated data centres is in force here")
}
