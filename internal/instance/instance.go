// Package instance assembles one process of the fleet and manages its lifecycle. It starts
// the membership, the control replica (if there is a data folder), the router and the
// listeners in the order of their dependencies, and closes them in reverse. It also
// connects packages that do not import each other: for example, it sends the balancer's
// in-flight counts in gossip messages.
//
// There are two kinds of instances: Instance routes by the contracts of customers, Routed
// by a routing table. The package does not read settings files, parse the requests of
// callers or select targets.
package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/configlease"
	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/limits"
	"github.com/wigeonwood/wigeonwood/internal/lookup"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/router"
	"github.com/wigeonwood/wigeonwood/internal/scheduler"
	"github.com/wigeonwood/wigeonwood/internal/settings"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// controlGroup is the Raft group that replicates the configuration and the ledger.
const controlGroup = 1

// Instance is an instance that routes requests by the contracts of customers, which it
// caches under a configuration lease from the control replicas. With a data folder it is
// a control replica itself.
type Instance struct {
	base
	cfg       *settings.Serve
	version   string
	budget    *budget.Budget
	replica   *controlReplica
	relay     *control.Relay
	client    *control.Client
	lease     *configlease.Holder
	scheduler *scheduler.Scheduler
	limiter   *limits.Limiter
	entries   *lookup.Handler
	reports   *reports
	router    *router.Router
	admin     *http.Server
	targets   *http.Server
}

// Start starts an instance that serves callers, targets, operators and peers on the open
// sockets in l. The settings must be valid. On an error, Start closes l and everything that
// it has started.
func Start(s *settings.Serve, l *Listeners, version string, logger *log.Logger) (*Instance, error) {
	in := &Instance{cfg: s, version: version}
	in.init(s.ID, l, logger)
	steps := []struct {
		name string
		run  func() error
	}{
		{"membership", in.startMembers},
		{"control replica", in.startReplica},
		{"configuration lease", in.startLease},
		{"scheduling", in.startScheduling},
		{"reports", in.startReports},
		{"router", in.startRouter},
		{"interfaces", in.startHTTPServers},
	}
	for _, step := range steps {
		if err := step.run(); err != nil {
			in.closeAll()
			return nil, errs.Wrap(err, "start "+step.name, "")
		}
	}
	in.serve()
	logger.Info().Str("step", "start").Str("listen", s.Listen).Str("admin", s.AdminListen).
		Str("peer", s.PeerListen).Str("target", s.TargetListen).Bool("replica", s.DataDir != "").Msg("the instance serves")
	return in, nil
}

func (in *Instance) startMembers() error {
	in.budget = budget.New(budget.Config{Scope: in.scope})
	in.server = transport.NewServer(in.cfg.PeerToken, in.logger)
	in.server.SetMeter(in.budget.ServerMeter())
	in.pool = transport.NewPool(in.cfg.PeerToken, nil, in.budget)
	self := &pb.RouterStatus{
		Id:          in.cfg.ID,
		Incarnation: uint64(time.Now().UnixNano()),
		DataCentre:  in.cfg.DataCentre,
		CallerAddr:  in.cfg.Listen,
		PeerAddr:    in.cfg.PeerListen,
		AdminAddr:   in.cfg.AdminListen,
		TargetAddr:  in.cfg.TargetListen,
		State:       pb.RouterState_ROUTER_STATE_UNLEASED,
		Replica:     in.cfg.DataDir != "",

		SupportsEvacuation: true,
	}
	members, err := member.Start(member.Config{
		Self:   self,
		Seeds:  append(append([]string{}, in.cfg.Seeds...), in.cfg.Founders...),
		Conn:   in.listeners.Gossip,
		Token:  in.cfg.PeerToken,
		Budget: in.budget,
		Logger: in.logger,
		Scope:  in.scope,
	})
	in.members = members
	return err
}

// replicaAddrs returns the peer addresses of the control replicas: first the live ones
// in the membership, then the founders.
func (in *Instance) replicaAddrs() []string {
	var addrs []string
	seen := make(map[string]bool)
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	for _, r := range in.members.Routers() {
		if r.Replica {
			add(r.PeerAddr)
		}
	}
	for _, addr := range in.cfg.Founders {
		add(addr)
	}
	return addrs
}

// relayAddrs returns the peer addresses of the other instances that are not replicas. Such
// an instance forwards requests to the replicas, which helps if this instance cannot reach
// a replica itself.
func (in *Instance) relayAddrs() []string {
	var addrs []string
	for _, r := range in.members.Routers() {
		if !r.Replica && r.Id != in.cfg.ID {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

func (in *Instance) startLease() error {
	in.client = control.NewClient(control.ClientConfig{
		Pool:     in.pool,
		Replicas: in.replicaAddrs,
		Relays:   in.relayAddrs,
		Logger:   in.logger,
		Scope:    in.scope,
		Group:    controlGroup,
	})
	in.lease = configlease.NewHolder(configlease.Config{
		Router:      in.cfg.ID,
		Incarnation: in.members.Self().Incarnation,
		Client:      in.client,
		Logger:      in.logger,
		Scope:       in.scope,
		OnLease:     in.leaseChanged,
	})
	return nil
}

// leaseChanged announces this router as serving only while it holds the configuration
// lease. A draining router stays draining.
func (in *Instance) leaseChanged(held bool) {
	if in.members.Self().State == pb.RouterState_ROUTER_STATE_DRAINING {
		return
	}
	if held {
		in.members.SetState(pb.RouterState_ROUTER_STATE_SERVING)
		return
	}
	in.members.SetState(pb.RouterState_ROUTER_STATE_UNLEASED)
}

func (in *Instance) startScheduling() error {
	in.scheduler = scheduler.New(scheduler.Config{
		Self:             in.cfg.ID,
		View:             in.members,
		ConfigView:       in.lease,
		Peers:            in.pool,
		Server:           in.server,
		Logger:           in.logger,
		Scope:            in.scope,
		BoundFactor:      in.cfg.LoadBound,
		Evacuations:      in.lease.Evacuations,
		AllowCacheEvents: func(n int) bool { return in.budget.Allow(budget.Hint, n) },
	})
	in.limiter = limits.New(limits.Config{
		Self:   in.cfg.ID,
		View:   in.members,
		Pool:   in.pool,
		Server: in.server,
		Logger: in.logger,
		Scope:  in.scope,
	})
	return nil
}

// serve starts the background goroutines and the servers. The server for peers comes first,
// the one for callers last.
func (in *Instance) serve() {
	in.goServe("peer", func() error { return in.server.Serve(in.listeners.Peer) })
	for _, run := range []func(context.Context){in.lease.Run, in.scheduler.Run, in.limiter.Run, in.reports.aggregator.Run} {
		in.background.Go(func() { run(in.ctx) })
	}
	in.serveReplica()
	in.goServe("admin", func() error { return in.admin.Serve(in.listeners.Admin) })
	in.goServe("target", func() error { return in.targets.Serve(in.listeners.Target) })
	in.goServe("caller", func() error { return in.router.Serve(in.listeners.Caller) })
}

// goServe runs serve in a goroutine and reports its error through Failed, unless the server
// was shut down.
func (in *Instance) goServe(name string, serve func() error) {
	in.background.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			in.fail(errs.Wrap(err, "listen "+name, ""))
		}
	})
}
