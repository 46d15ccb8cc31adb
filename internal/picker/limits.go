package picker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

const (
	// stepLimit is the name of this processing step in log lines and errors.
	stepLimit = "limit"
	// maxPermitAsks is the number of permits that one selection asks for before it takes a
	// target without a limit. Targets that were denied before are passed over without asking.
	maxPermitAsks = 8
)

// pickWithPermit selects a target for r. If the target needs a permit and none is granted,
// another target is selected. pickWithPermit fails with a *balance.LimitedError if the targets
// that could otherwise receive the request are all at their limits.
func (p *Picker) pickWithPermit(ctx context.Context, r balance.Request) (balance.Choice, error) {
	var wait time.Duration
	for asked := range 2 * maxPermitAsks {
		r.WithoutLimit = asked >= maxPermitAsks
		c, err := p.pickTarget(ctx, r)
		if errors.Is(err, balance.ErrNoTarget) && wait > 0 {
			err = &balance.LimitedError{RetryAfter: wait}
		}
		if err != nil {
			return c, err
		}
		a := p.permit(ctx, c.Target)
		if a.Granted {
			if a.Latest != nil && a.Latest.Named {
				c.Reason += fmt.Sprintf(", with a permit under its limit of %.3g requests/s", a.Latest.PerSecond)
			}
			return c, nil
		}
		c.Done(balance.Abandoned)
		p.cfg.Balancer.Withhold(c.Target, a.Wait)
		// The owner of a plain service selects another target only if it is told.
		r.Exclude = append(r.Exclude[:len(r.Exclude):len(r.Exclude)], c.Target.Id)
		if wait == 0 || a.Wait < wait {
			wait = a.Wait
		}
	}
	return balance.Choice{}, &balance.LimitedError{RetryAfter: wait}
}

// permit obtains a permit for one request to the target from the target's owner, if it needs
// one.
func (p *Picker) permit(ctx context.Context, target *pb.TargetStatus) permits.Answer {
	key := balance.LoadKey(target)
	p.keeperMu.Lock()
	needed := p.keeper.NeedsPermit(time.Now(), key)
	p.keeperMu.Unlock()
	if !needed {
		return permits.Answer{Granted: true}
	}
	a := p.askPermit(ctx, target, key)
	if a.Granted {
		p.permitsGranted.Inc(1)
	} else {
		p.permitsDenied.Inc(1)
	}
	return a
}

func (p *Picker) askPermit(ctx context.Context, target *pb.TargetStatus, key uint32) permits.Answer {
	now := time.Now()
	owner := p.targetOwner(target)
	p.keeperMu.Lock()
	latest, known := p.keeper.Latest(now, key), p.keeper.SeeRouters(now, len(balance.ServingRouters(p.cfg.Members.Routers())))
	if owner != nil && owner.Id == p.cfg.Self {
		defer p.keeperMu.Unlock()
		return p.keeper.Grant(now, key, latest, known)
	}
	p.keeperMu.Unlock()
	message := &pb.PermitAsk{Target: key, Seen: seenLimit(now, latest), Fleet: uint32(known)}
	var reply *pb.PermitAnswer
	if owner != nil {
		_, answer := p.askOwner(ctx, owner, &pb.Placing{What: &pb.Placing_PermitAsk{PermitAsk: message}})
		reply = answer.GetPermitAnswer()
	}
	now = time.Now()
	p.keeperMu.Lock()
	defer p.keeperMu.Unlock()
	if reply == nil {
		p.permitsUnanswered.Inc(1)
		return p.keeper.Unanswered(now, key)
	}
	a := permits.Answer{Granted: reply.Granted, Wait: milliseconds(reply.WaitMs), Latest: observation(now, reply.Seen)}
	p.keeper.Learn(now, key, a.Latest)
	return a
}

// targetOwner returns the router that grants the permits of a target, nil if there are no
// serving routers.
func (p *Picker) targetOwner(target *pb.TargetStatus) *pb.RouterStatus {
	return balance.OwnerOf(p.cfg.Members.Routers(), "limit/"+target.Id)
}

// grantPermit answers another router's request for a permit.
func (p *Picker) grantPermit(m *pb.PermitAsk) *pb.PermitAnswer {
	now := time.Now()
	p.keeperMu.Lock()
	defer p.keeperMu.Unlock()
	p.keeper.SeeRouters(now, len(balance.ServingRouters(p.cfg.Members.Routers())))
	a := p.keeper.Grant(now, m.Target, observation(now, m.Seen), int(m.Fleet))
	// The wait is rounded up, so that the router does not come back too early.
	return &pb.PermitAnswer{Granted: a.Granted, WaitMs: uint32((a.Wait + time.Millisecond - 1).Milliseconds()), Seen: seenLimit(now, a.Latest)}
}

// ObserveLimit records the limit that a target named in its answer to a request, or that it
// named none, and reports it to the target's owner.
func (p *Picker) ObserveLimit(target *pb.TargetStatus, requestID string, l permits.Limit) {
	now := time.Now()
	key := balance.LoadKey(target)
	o := permits.Observation{Limit: l, At: now}
	p.keeperMu.Lock()
	changed, report := p.keeper.Observe(now, key, o)
	if changed {
		p.publishLimits(now)
	}
	p.keeperMu.Unlock()
	if changed {
		p.cfg.Logger.Info().Str("step", stepLimit).Str("peer", target.Id).Uint64("incarnation", target.Incarnation).Str("service", target.Service).
			Str("request_id", requestID).Bool("limited", l.Named).Float64("per_second", l.PerSecond).Msg("the limit of a target changed")
	}
	if changed && !l.Named {
		p.cfg.Balancer.Withhold(target, 0)
	}
	if report {
		p.reportLimit(target, &pb.LimitReport{Target: key, Seen: seenLimit(now, &o)})
	}
}

// reportLimit sends a report to the target's owner, unless that is this router.
func (p *Picker) reportLimit(target *pb.TargetStatus, report *pb.LimitReport) {
	owner := p.targetOwner(target)
	if owner != nil && owner.Id != p.cfg.Self {
		p.cfg.Members.SendPlacing(owner.PeerAddr, &pb.Placing{What: &pb.Placing_LimitReport{LimitReport: report}})
	}
}

// publishLimits passes the limits that are known now to the balancer and the metrics. The
// caller holds keeperMu.
func (p *Picker) publishLimits(now time.Time) {
	limits := p.keeper.Limits(now)
	p.limits.Store(&limits)
	p.limited.Update(float64(len(limits)))
}

// knownLimits returns the limits that were last published.
func (p *Picker) knownLimits() map[uint32]float64 {
	if limits := p.limits.Load(); limits != nil {
		return *limits
	}
	return nil
}

// hearReport applies another router's observation of a target that this router owns.
func (p *Picker) hearReport(m *pb.LimitReport) {
	now := time.Now()
	p.keeperMu.Lock()
	defer p.keeperMu.Unlock()
	p.keeper.Learn(now, m.Target, observation(now, m.Seen))
}

// SeenLimits returns at most n limits of targets to send with the next in-flight counts: those
// that this router has seen since the last call, or, for a collector, those that it knows, a
// part with each call. It is called several times per second.
func (p *Picker) SeenLimits(collector bool, n int) []permits.Seen {
	now := time.Now()
	p.keeperMu.Lock()
	defer p.keeperMu.Unlock()
	p.keeper.SeeRouters(now, len(balance.ServingRouters(p.cfg.Members.Routers())))
	p.publishLimits(now)
	if collector {
		return p.keeper.Spread(now, n)
	}
	return p.keeper.TakeSeen(now, n)
}

// LearnLimits records limits that another router has sent.
func (p *Picker) LearnLimits(limits []permits.Seen) {
	if len(limits) == 0 {
		return
	}
	now := time.Now()
	p.keeperMu.Lock()
	defer p.keeperMu.Unlock()
	for _, l := range limits {
		p.keeper.Learn(now, l.Target, &l.Observation)
	}
}

func seenLimit(now time.Time, o *permits.Observation) *pb.SeenLimit {
	if o == nil {
		return nil
	}
	s := &pb.SeenLimit{AgeMs: uint32(max(0, now.Sub(o.At).Milliseconds()))}
	if o.Named {
		s.PerSecond = &o.PerSecond
	}
	return s
}

func observation(now time.Time, s *pb.SeenLimit) *permits.Observation {
	if s == nil {
		return nil
	}
	o := &permits.Observation{At: now.Add(-milliseconds(s.AgeMs))}
	if s.PerSecond != nil && *s.PerSecond >= 0 {
		o.Limit = permits.Limit{Named: true, PerSecond: *s.PerSecond}
	}
	return o
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
