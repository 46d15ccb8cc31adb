package instance

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/gateway"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/picker"
	"github.com/wigeonwood/wigeonwood/internal/quarantine"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/routesync"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

func (in *Routed) startMembers() error {
	bytesPerSecond := replicaBytesPerSecond
	if in.cfg.CallerAddr != "" {
		bytesPerSecond = routerBytesPerSecond
	}
	controlBudget := budget.New(budget.Config{Scope: in.scope, BytesPerSecond: bytesPerSecond, BurstBytes: controlBurstBytes})
	in.server = transport.NewServer(in.cfg.PeerToken, in.logger)
	in.server.SetMeter(controlBudget.ServerMeter())
	in.pool = transport.NewPool(in.cfg.PeerToken, nil, controlBudget)
	notices := in.savedNotices()
	in.startNotices(notices)
	members, err := member.Start(member.Config{
		Self: &pb.RouterStatus{
			Id:          in.cfg.ID,
			Incarnation: uint64(time.Now().UnixNano()),
			DataCentre:  in.cfg.DataCentre,
			CallerAddr:  in.cfg.CallerAddr,
			PeerAddr:    in.cfg.PeerListen,
			State:       pb.RouterState_ROUTER_STATE_SERVING,
			Replica:     in.cfg.DataDir != "",

			SupportsEvacuation: true,
		},
		Seeds:         in.cfg.Seeds,
		CachedPeers:   in.cachedPeers(),
		CachedTargets: in.cachedTargets(),
		CachedNotices: notices,
		Conn:          in.listeners.Gossip,
		Token:         in.cfg.PeerToken,
		NoticeCopies:  in.cfg.NoticeCopies,
		Budget:        controlBudget,
		Logger:        in.logger,
		Scope:         in.scope,
		Intervals:     member.Intervals{TargetLease: in.cfg.TargetLease, Sync: syncInterval, Join: joinInterval},
		SyncDatagrams: syncDatagrams,
		OnInFlight:    in.handleInFlight,
		OnPlacing:     in.handlePlacing,
		OnQuarantine:  in.handleQuarantine,
	})
	in.members = members
	return err
}

func (in *Routed) startSync() error {
	in.sync = routesync.New(routesync.Config{
		Holder:        &in.activeTable,
		Decode:        in.cfg.Decode,
		ServesCallers: in.cfg.CallerAddr != "",
		OnEvacuations: in.handleEvacuations,
		Members:       in.members,
		Pool:          in.pool,
		Server:        in.server,
		Logger:        in.logger,
		Scope:         in.scope,
	})
	in.client = control.NewClient(control.ClientConfig{
		Pool:     in.pool,
		Replicas: in.replicaAddrs,
		Logger:   in.logger,
		Scope:    in.scope,
		Group:    controlGroup,
	})
	return nil
}

// replicaAddrs returns the peer addresses at which this instance looks for control replicas:
// first those of the replicas in the membership, then the seeds.
func (in *Routed) replicaAddrs() []string {
	var addrs []string
	for _, r := range in.members.Routers() {
		if r.Replica {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	in.seedsMu.Lock()
	defer in.seedsMu.Unlock()
	for _, addr := range in.seeds {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// SetSeeds replaces the peer addresses through which the instance joins the fleet and
// finds replicas.
func (in *Routed) SetSeeds(seeds []string) {
	in.seedsMu.Lock()
	in.seeds = seeds
	in.seedsMu.Unlock()
	in.members.SetSeeds(seeds)
}

// startReplica starts the control replica if the instance has a data folder. The newest
// table that the replica has applied becomes the active table of this instance.
func (in *Routed) startReplica() error {
	if in.cfg.DataDir == "" {
		return nil
	}
	machine := state.New()
	node, service, err := in.startControlLog(replica.Config{
		Dir:           in.cfg.DataDir,
		Addr:          in.cfg.PeerListen,
		DataCentre:    in.cfg.DataCentre,
		Founders:      in.cfg.Founders,
		JoinOnly:      in.cfg.JoinOnly,
		OpenAdmission: true,
		Peers:         in.replicaAddrs,
		OnApplied: func() {
			// The evacuations are read after the table and take effect before it, so that
			// no table is active here without the evacuations that were committed before it.
			t := machine.RoutingTable()
			if set := machine.Evacuations(); set != nil {
				in.sync.EvacuationsCommitted(set)
			}
			if t != nil {
				in.sync.Committed(t.Number, t.Document, t.Command)
			}
		},
		SnapshotEntries: tablesPerSnapshot,
	}, machine)
	if err != nil {
		return err
	}
	in.node, in.service = node, service
	return nil
}

// startGateway creates the parts that serve callers if the instance is a router.
func (in *Routed) startGateway() error {
	if in.cfg.CallerAddr == "" {
		return nil
	}
	in.balancer = balance.New(in.members, in.logHealthChange)
	in.picker = picker.New(picker.Config{
		Self:     in.cfg.ID,
		Started:  time.Now(),
		Members:  in.members,
		Balancer: in.balancer,
		Logger:   in.logger,
		Scope:    in.scope,
		Cold:     in.coldRule,
	})
	markCold := in.picker.MarkDataCentreCold
	in.markCold.Store(&markCold)
	in.balancer.SetEvacuated(in.sync.Evacuated)
	in.costs = newCostReports(in.scope)
	in.balancer.SetOnEstimate(in.costs.recordEstimate)
	in.guard = quarantine.New(quarantine.Config{Self: in.cfg.ID, Routers: in.members.Routers, Send: in.members.SendQuarantine, Logger: in.logger, Scope: in.scope})
	g, err := gateway.New(gateway.Config{
		Tables:   &in.activeTable,
		Picker:   in.picker,
		Loads:    in.balancer,
		Guard:    in.guard,
		Retries:  balance.NewRetryBudget(in.cfg.RetryLimits, in.scope.SubScope("gateway")),
		Forward:  forward.Config{Dialect: in.cfg.Dialect, Scope: in.scope},
		Prepare:  in.cfg.Prepare,
		NotRun:   in.cfg.NotRun,
		Hints:    in.cfg.Hints,
		Life:     in.targetLife,
		OnHints:  in.applyHints,
		Observer: in.reports.observer(),
		Logger:   in.logger,
		Scope:    in.scope,
	})
	in.gateway = g
	return err
}

// targetLife returns what is known of the process that announced a target.
func (in *Routed) targetLife(st *pb.TargetStatus) forward.Life {
	l := in.members.TargetLife(st)
	return forward.Life{Leaves: l.Left, Replaced: l.Replaced, HeardAt: l.ProvenAt, Overdue: l.Overdue}
}

// handlePlacing passes a message of another router about a slot to the picker. The message
// requests a slot at a target for one request, replies with the slot's target or with the
// reason why there is none, or releases a slot.
func (in *Routed) handlePlacing(router, addr string, p *pb.Placing) {
	if in.picker != nil {
		in.picker.Handle(router, addr, p)
	}
}

// handleQuarantine passes a message of another router about parts of prompts that crash
// targets to the guard.
func (in *Routed) handleQuarantine(router, addr string, q *pb.Quarantine) {
	if in.guard != nil {
		in.guard.Handle(router, addr, q)
	}
}

// applyHints applies the signals in a target's response. A pause
// (Retry-After) applies only to this router. Leaving applies to the whole fleet, which is
// notified, and can't be revoked for this incarnation of the target.
func (in *Routed) applyHints(target *pb.TargetStatus, requestID string, h filter.Hints) {
	if h.InvalidLimit == "" {
		in.picker.ObserveLimit(target, requestID, h.Limit)
	} else {
		in.logger.Warn().Str("step", "limit").Str("peer", target.Id).Str("request_id", requestID).Str("text", h.InvalidLimit).
			Msg("a target names a limit that is not a number of requests per second")
	}
	in.applyLoad(target, requestID, h)
	changed := in.balancer.Pause(target, h.Pause)
	if h.Leaving && in.balancer.MarkLeaving(target) {
		changed = true
		in.members.RecordLeaving(target.Id, target.Incarnation)
	}
	if changed {
		in.logger.Info().Str("step", "heed").Str("peer", target.Id).Uint64("incarnation", target.Incarnation).Str("request_id", requestID).
			Bool("leaving", h.Leaving).Int64("pause_ms", h.Pause.Milliseconds()).Msg("a target wants no more requests")
	}
}

// logHealthChange logs that a target was ejected or readmitted.
func (in *Routed) logHealthChange(c balance.HealthChange) {
	in.logger.Warn().Str("step", "health").Str("peer", c.Target.Id).Str("service", c.Target.Service).
		Bool("avoided", c.Ejected).Float64("failures", c.FailureRate).Int64("for_ms", c.EjectedFor.Milliseconds()).
		Msg("the health of a target changed")
}
