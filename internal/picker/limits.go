package picker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

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
			if p.cfg.Cold != nil {
				c.Renew = p.renew(c.Target, time.Now())
			}
			if _, cold := p.coldRule(c.Target); cold {
				c.Reason += ", with a permit for a cold target"
			}
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
	if _, cold := p.coldRule(target); cold {
		a := p.askPermit(ctx, target, key, true)
		p.countColdPermit(a)
		return a
	}
	p.limiterMu.Lock()
	needed := p.limiter.NeedsPermit(time.Now(), key)
	p.limiterMu.Unlock()
	if !needed {
		return permits.Answer{Granted: true}
	}
	a := p.askPermit(ctx, target, key, false)
	if a.Granted {
		p.permitsGranted.Inc(1)
	} else {
		p.permitsDenied.Inc(1)
	}
	return a
}

// askPermit requests a permit from the target's owner. cold is set if the target is cold.
func (p *Picker) askPermit(ctx context.Context, target *pb.TargetStatus, key uint32, cold bool) permits.Answer {
	now := time.Now()
	owner := p.targetOwner(target)
	p.limiterMu.Lock()
	latest, known := p.limiter.Latest(now, key), p.limiter.SeeRouters(now, len(balance.ServingRouters(p.cfg.Members.Routers())))
	if owner != nil && owner.Id == p.cfg.Self {
		defer p.limiterMu.Unlock()
		return p.grant(now, key, latest, known, cold)
	}
	p.limiterMu.Unlock()
	message := &pb.PermitAsk{Target: key, Seen: seenLimit(now, latest), Fleet: uint32(known), Cold: cold}
	var reply *pb.PermitAnswer
	if owner != nil {
		_, answer := p.askOwner(ctx, owner, &pb.Placing{What: &pb.Placing_PermitAsk{PermitAsk: message}})
		reply = answer.GetPermitAnswer()
	}
	now = time.Now()
	if reply == nil && cold {
		p.cold.unanswered.Inc(1)
		return permits.UnansweredCold()
	}
	if reply == nil {
		p.permitsUnanswered.Inc(1)
		p.limiterMu.Lock()
		defer p.limiterMu.Unlock()
		return p.limiter.Unanswered(now, key)
	}
	a := permits.Answer{Granted: reply.Granted, Wait: milliseconds(reply.WaitMs), Latest: observation(now, reply.Seen)}
	p.learn(now, key, a.Latest, owner.Id)
	return a
}

// learn records an observation of another router and logs a change.
func (p *Picker) learn(now time.Time, key uint32, o *permits.Observation, router string) {
	p.limiterMu.Lock()
	changed := p.limiter.Learn(now, key, o)
	if changed {
		p.publishLimits(now)
	}
	p.limiterMu.Unlock()
	if !changed {
		return
	}
	if target := p.cfg.Balancer.Target(key); target != nil {
		p.logLimit(target, *o).Str("router", router).Int64("age_ms", now.Sub(o.At).Milliseconds()).Msg(limitChanged)
	}
}

// limitChanged is the message of the log lines of limits.
const limitChanged = "the limit of a target changed"

func (p *Picker) logLimit(target *pb.TargetStatus, o permits.Observation) *log.Entry {
	return p.cfg.Logger.Info().Str("step", stepLimit).Str("peer", target.Id).Uint64("incarnation", target.Incarnation).
		Str("service", target.Service).Bool("limited", o.Named).Float64("per_second", o.PerSecond)
}

// targetOwner returns the router that grants the permits of a target, nil if there are no
// serving routers.
func (p *Picker) targetOwner(target *pb.TargetStatus) *pb.RouterStatus {
	return balance.OwnerOf(p.cfg.Members.Routers(), "limit/"+target.Id)
}

// grantPermit answers a router's request for a permit.
func (p *Picker) grantPermit(router string, m *pb.PermitAsk) *pb.PermitAnswer {
	now := time.Now()
	p.learn(now, m.Target, observation(now, m.Seen), router)
	p.limiterMu.Lock()
	defer p.limiterMu.Unlock()
	p.limiter.SeeRouters(now, len(balance.ServingRouters(p.cfg.Members.Routers())))
	a := p.grant(now, m.Target, nil, int(m.Fleet), m.Cold)
	// The wait is rounded up, so that the router does not come back too early.
	return &pb.PermitAnswer{Granted: a.Granted, WaitMs: uint32((a.Wait + time.Millisecond - 1).Milliseconds()), Seen: seenLimit(now, a.Latest)}
}

// ObserveLimit records the limit that a target named in its answer to a request, or that it
// named none, and reports it to the target's owner.
func (p *Picker) ObserveLimit(target *pb.TargetStatus, requestID string, l permits.Limit) {
	now := time.Now()
	key := balance.LoadKey(target)
	o := permits.Observation{Limit: l, At: now}
	p.limiterMu.Lock()
	changed, report := p.limiter.Observe(now, key, o)
	if changed {
		p.publishLimits(now)
	}
	p.limiterMu.Unlock()
	if changed {
		p.logLimit(target, o).Str("request_id", requestID).Msg(limitChanged)
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
// caller holds limiterMu.
func (p *Picker) publishLimits(now time.Time) {
	limits := p.limiter.Limits(now)
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

// SeenLimits returns at most n limits of targets to send with the next in-flight counts: those
// that this router has seen since the last call, or, for a collector, those that it knows, a
// part with each call. It is called several times per second.
func (p *Picker) SeenLimits(collector bool, n int) []permits.Seen {
	now := time.Now()
	p.limiterMu.Lock()
	defer p.limiterMu.Unlock()
	p.limiter.SeeRouters(now, len(balance.ServingRouters(p.cfg.Members.Routers())))
	p.publishLimits(now)
	p.countCold()
	if collector {
		return p.limiter.Spread(now, n)
	}
	return p.limiter.TakeSeen(now, n)
}

// LearnLimits records limits that another router has sent.
func (p *Picker) LearnLimits(router string, limits []permits.Seen) {
	now := time.Now()
	for _, l := range limits {
		p.learn(now, l.Target, &l.Observation, router)
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
