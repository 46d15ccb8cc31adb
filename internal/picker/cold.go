package picker

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

const (
	// permitTTL is the time for which a permit of a cold target may be used. Permits that are
	// kept for longer could be used in the same second as those that were granted later.
	permitTTL = 50 * time.Millisecond
	// maxColdServices bounds coldTargets.services. Beyond it, all services are looked up again.
	maxColdServices = 16384
)

// ColdRule is the configuration of a service's cold targets.
type ColdRule struct {
	permits.ColdBound
	// Start is the time for which a target counts as cold after the evacuation of its data
	// centre has ended, unless a heartbeat says otherwise.
	Start time.Duration
}

// coldTargets holds the state of a Picker that concerns cold targets.
type coldTargets struct {
	// marks holds the targets that count as cold although their status does not say so.
	marks marks
	// services holds the services of the targets for which permits were requested from this
	// router, by load key.
	services map[uint32]string

	targets    tally.Gauge
	granted    tally.Counter
	denied     tally.Counter
	unanswered tally.Counter
}

func newColdTargets(scope tally.Scope) coldTargets {
	return coldTargets{
		services:   make(map[uint32]string),
		targets:    scope.Gauge("cold_targets"),
		granted:    scope.Counter("cold_permits_granted"),
		denied:     scope.Counter("cold_permits_denied"),
		unanswered: scope.Counter("cold_permits_unanswered"),
	}
}

// MarkDataCentreCold makes all known targets of a data centre count as cold for the time that
// their service configures, or until a later heartbeat says that they are not. It is called when
// the evacuation of the data centre ends: its targets may have become cold meanwhile.
func (p *Picker) MarkDataCentreCold(dataCentre string) {
	if p.cfg.Cold == nil {
		return
	}
	now := time.Now()
	p.limiterMu.Lock()
	added := make(map[uint64]mark)
	for _, st := range p.cfg.Balancer.Targets() {
		rule := p.cfg.Cold(st.Service)
		if st.DataCentre != dataCentre || rule.Rate() <= 0 || rule.Start <= 0 {
			continue
		}
		added[fleet.TargetKey(st.Id, st.Incarnation)] = mark{until: now.Add(rule.Start), sequence: st.Sequence}
	}
	p.cold.marks.add(now, added)
	p.limiterMu.Unlock()
	p.cfg.Logger.Info().Str("step", stepLimit).Str("data_centre", dataCentre).Int("targets", len(added)).
		Msg("the targets of a data centre count as cold")
}

// coldRule returns the configuration of a target's service, and whether the target is cold and
// requests to it need a permit for that reason.
func (p *Picker) coldRule(st *pb.TargetStatus) (rule ColdRule, cold bool) {
	if p.cfg.Cold == nil || st.ColdMs == 0 && !p.cold.marks.apply(st) {
		return ColdRule{}, false
	}
	rule = p.cfg.Cold(st.Service)
	return rule, rule.Rate() > 0
}

// coldRate returns the rate of requests that a cold target gets from all routers, in requests per
// second; zero if the target is not cold.
func (p *Picker) coldRate(st *pb.TargetStatus) float64 {
	rule, cold := p.coldRule(st)
	if !cold {
		return 0
	}
	return rule.Rate()
}

// countColdPermit counts an owner's answer to this router's request for a permit of a cold
// target.
func (p *Picker) countColdPermit(a permits.Answer) {
	if a.Granted {
		p.cold.granted.Inc(1)
	} else {
		p.cold.denied.Inc(1)
	}
}

// countCold updates the number of cold targets in the metrics.
func (p *Picker) countCold() {
	if p.cfg.Cold == nil {
		return
	}
	cold := 0
	for _, st := range p.cfg.Balancer.Targets() {
		if p.coldRate(st) > 0 {
			cold++
		}
	}
	p.cold.targets.Update(float64(cold))
}

// grant decides, as the owner of the target, on a request for a permit. cold is set if the target
// is cold in the view of the router that asks, which may have heard of it earlier than this one.
// The caller holds limiterMu.
func (p *Picker) grant(now time.Time, key uint32, latest *permits.Observation, fleet int, cold bool) permits.Answer {
	if !cold {
		return p.limiter.Grant(now, key, latest, fleet)
	}
	var bound permits.ColdBound
	if service, known := p.coldService(key); known && p.cfg.Cold != nil {
		bound = p.cfg.Cold(service).ColdBound
	}
	return p.limiter.GrantCold(now, key, latest, fleet, bound)
}

// coldService returns the service of a target. The caller holds limiterMu.
func (p *Picker) coldService(key uint32) (service string, known bool) {
	if service, known = p.cold.services[key]; known {
		return service, true
	}
	st := p.cfg.Balancer.Target(key)
	if st == nil {
		return "", false
	}
	if len(p.cold.services) >= maxColdServices {
		clear(p.cold.services)
	}
	p.cold.services[key] = st.Service
	return st.Service, true
}

// renew returns the function for balance.Choice.Renew.
func (p *Picker) renew(target *pb.TargetStatus, grantedAt time.Time) func(context.Context) bool {
	return func(ctx context.Context) bool {
		if current := p.cfg.Balancer.Target(balance.LoadKey(target)); current != nil {
			target = current
		}
		if _, cold := p.coldRule(target); !cold || time.Since(grantedAt) <= permitTTL {
			return true
		}
		return p.permit(ctx, target).Granted
	}
}
