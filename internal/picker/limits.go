package picker

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

// stepLimit is the name of this processing step in log lines and errors.
const stepLimit = "limit"

// ObserveLimit records the limit that a target named in its answer to a request, or that it
// named none.
func (p *Picker) ObserveLimit(target *pb.TargetStatus, requestID string, l permits.Limit) {
	now := time.Now()
	p.keeperMu.Lock()
	changed := p.keeper.Observe(now, balance.LoadKey(target), permits.Observation{Limit: l, At: now})
	if changed {
		p.limited.Update(float64(p.keeper.Limited(now)))
	}
	p.keeperMu.Unlock()
	if changed {
		p.cfg.Logger.Info().Str("step", stepLimit).Str("peer", target.Id).Uint64("incarnation", target.Incarnation).Str("service", target.Service).
			Str("request_id", requestID).Bool("limited", l.Named).Float64("per_second", l.PerSecond).Msg("the limit of a target changed")
	}
}
