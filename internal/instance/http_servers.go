package instance

import (
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/announce"
	"github.com/wigeonwood/wigeonwood/internal/bodybuffer"
	"github.com/wigeonwood/wigeonwood/internal/lookup"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/router"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// readTimeout bounds the time to read one request, body included, of an operator or
	// a target.
	readTimeout = 10 * time.Second
)

func (in *Instance) startReports() error {
	in.reports = newReports(in.cfg.ID, &in.base, in.objectives)
	return nil
}

// objectives returns the objectives in a customer's contract, nil if the customer has no
// contract.
func (in *Instance) objectives(customer string) *pb.Objectives {
	return in.lease.Contract(customer).GetObjectives()
}

// startRouter creates the router and the handler of entry lookups. Callers look up entry
// addresses, the caller addresses of the routers that they may use.
func (in *Instance) startRouter() error {
	in.entries = lookup.NewHandler(lookup.Config{View: in.members, TTL: in.cfg.EntryTTL, Owner: in.scheduler.OwnerOf})
	r, err := router.New(router.Config{
		View:        in.members,
		Config:      in.lease,
		Ledger:      in.client,
		Scheduler:   in.scheduler,
		Limiter:     in.limiter,
		Observer:    in.reports.observer(),
		Entries:     in.entries,
		PeerEntries: in.peerEntries,
		SetDraining: in.setDraining,
		EntryTTL:    in.cfg.EntryTTL,
		Bounds: router.Bounds{
			MaxBodyBytes: in.cfg.MaxBodyBytes,
			MaxConns:     in.cfg.MaxConnections,
			Bodies:       bodybuffer.LimitsFor(int64(in.cfg.MemoryMB)<<20, 0).ForConnections(in.cfg.MaxConnections),
		},
		Logger: in.logger,
		Scope:  in.scope,
	})
	in.router = r
	return err
}

// peerEntries returns the caller addresses of the other serving routers. A caller that this
// router refuses may use them instead.
func (in *Instance) peerEntries(string) []string {
	var addrs []string
	for _, r := range in.members.Routers() {
		if r.Id != in.cfg.ID && r.State == pb.RouterState_ROUTER_STATE_SERVING {
			addrs = append(addrs, r.CallerAddr)
		}
	}
	return addrs
}

// setDraining stops listing this router in replies to entry lookups and announces to the
// other instances that this router is draining.
func (in *Instance) setDraining() {
	in.entries.StartDrain()
	in.members.SetState(pb.RouterState_ROUTER_STATE_DRAINING)
}

// startHTTPServers creates the HTTP servers for operators and targets; serve runs them.
func (in *Instance) startHTTPServers() error {
	in.admin = newServer(admin.NewHandler(admin.Config{
		Token:      in.cfg.AdminToken,
		Version:    in.version,
		View:       in.members,
		ConfigView: in.lease,
		Control:    in.client,

		Evacuations: in.lease.Evacuations,

		Explain: in.reports.findRequest,
		Burn:    in.reports.aggregator.Collect,
		Metrics: in.metrics,
		Logger:  in.logger,
	}))
	in.targets = newServer(announce.NewHandler(announce.Config{
		Token:       in.cfg.TargetToken,
		Registry:    in.members,
		View:        in.members,
		CacheEvents: in.handleCacheEvents,
		Budget:      in.budget,
		Logger:      in.logger,
		Scope:       in.scope,
	}))
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
}
