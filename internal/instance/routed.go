package instance

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/gateway"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/picker"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/routesync"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

const (
	// routerBytesPerSecond bounds the control traffic of a router, which may relay the
	// in-flight totals of all routers; replicaBytesPerSecond bounds that of an instance
	// that serves no callers. controlBurstBytes is the burst of either token bucket.
	routerBytesPerSecond  = 256 << 10
	replicaBytesPerSecond = 64 << 10
	controlBurstBytes     = 128 << 10
	// syncInterval is the minimum time between two anti-entropy syncs with peers whose
	// views differ. joinInterval is the time between attempts to reach a seed until one
	// replies. Both are short because after a restart of the whole fleet routers serve
	// no callers until they know targets. syncDatagrams bounds the reply to one sync:
	// that many datagrams of 1,400 bytes occupy a replica's link for at most 60 ms.
	syncInterval  = 200 * time.Millisecond
	joinInterval  = 100 * time.Millisecond
	syncDatagrams = 16
	// tablesPerSnapshot is the maximum number of tables that a replica replays from the
	// log at a start. Replaying a table rewrites the full text, and routers wait until
	// the last table is applied.
	tablesPerSnapshot = 16
	// maxEntryAddrs is the maximum number of entry addresses in one answer to callers.
	maxEntryAddrs = 64
)

// RoutedConfig configures a Routed instance.
type RoutedConfig struct {
	ID         string
	DataCentre string
	// PeerListen is the IP:port for other instances, TCP and UDP.
	PeerListen string
	// CallerAddr is the IP:port for callers; empty if this instance is not a router.
	CallerAddr string
	// Seeds are the peer addresses through which the instance joins the fleet.
	// Founders are the seeds that form the Raft group together. A replica with
	// JoinOnly never forms a group; it joins one that runs.
	Seeds    []string
	Founders []string
	JoinOnly bool
	// DataDir is the data folder of the control replica; empty if this instance is not a
	// replica.
	DataDir   string
	PeerToken string
	// TargetLease is how long a target stays listed without a heartbeat.
	TargetLease time.Duration
	RetryLimits balance.RetryLimits
	// Decode decodes routing tables. Dialect, Prepare, NotRun and Hints implement the
	// protocol between routers and targets.
	Decode  routesync.Decode
	Dialect *forward.Dialect
	Prepare func(x *filter.Exchange, target, holder *pb.TargetStatus)
	NotRun  func(status int, h http.Header) bool
	Hints   func(status int, h http.Header) filter.Hints
	Logger  *log.Logger
}

// Routed is an instance that routes by a routing table: a router, a control replica that
// stores the table, or both.
type Routed struct {
	base
	cfg      RoutedConfig
	holder   routing.Holder
	sync     *routesync.Sync
	client   *control.Client
	node     *replica.Node
	service  *control.Service
	balancer *balance.Balancer
	picker   *picker.Picker
	gateway  *gateway.Gateway
	reports  *reports
	// heartbeatRate meters the heartbeats that targets send to this instance.
	heartbeatRate rateMeter

	// seeds are the peer addresses through which to join, as last set by SetSeeds.
	seedsMu sync.Mutex
	seeds   []string
}

// StartRouted starts an instance and serves its peers. The caller of StartRouted runs the
// HTTP servers, and passes the requests of callers to Gateway. On an error, everything
// that was started is closed.
func StartRouted(cfg RoutedConfig) (*Routed, error) {
	in := &Routed{cfg: cfg, seeds: cfg.Seeds}
	in.init(cfg.ID, &Listeners{}, cfg.Logger)
	steps := []struct {
		name string
		run  func() error
	}{
		{"listen", func() error { return in.listeners.tryOpenPeer(cfg.PeerListen) }},
		{"membership", in.startMembers},
		{"routing table", in.startSync},
		{"control replica", in.startReplica},
		{"reports", in.startReports},
		{"gateway", in.startGateway},
	}
	for _, step := range steps {
		if err := step.run(); err != nil {
			in.Close()
			return nil, errs.Wrap(err, "start "+step.name, cfg.PeerListen)
		}
	}
	in.serve()
	return in, nil
}

// Metrics returns the handler of the metrics page.
func (in *Routed) Metrics() http.Handler { return in.metrics }

// Gateway returns the handler of callers' requests, nil if the instance is not a router.
func (in *Routed) Gateway() *gateway.Gateway { return in.gateway }

// serve starts the background goroutines and the server for peers.
func (in *Routed) serve() {
	in.background.Go(func() {
		if err := in.server.Serve(in.listeners.Peer); err != nil {
			in.fail(errs.Wrap(err, "listen peer", ""))
		}
	})
	in.background.Go(func() { in.sync.Run(in.ctx) })
	in.background.Go(func() { in.reports.aggregator.Run(in.ctx) })
	if in.balancer != nil {
		in.background.Go(in.publishInFlight)
	}
	if in.node != nil {
		in.background.Go(in.persistFleet)
		in.background.Go(func() {
			select {
			case <-in.ctx.Done():
			case <-in.node.Done():
				in.fail(in.node.Err())
			}
		})
	}
}

// Ready reports whether this instance serves callers: it has a routing table and does not
// drain.
func (in *Routed) Ready() bool {
	return in.holder.Number() > 0 && in.members.Self().State == pb.RouterState_ROUTER_STATE_SERVING
}

// EntryAddrs returns up to maxEntryAddrs caller addresses of routers that serve callers
// and have a routing table, in random order.
func (in *Routed) EntryAddrs() []string {
	var addrs []string
	for _, r := range in.members.Routers() {
		if r.CallerAddr != "" && r.State == pb.RouterState_ROUTER_STATE_SERVING && r.RoutingTable > 0 {
			addrs = append(addrs, r.CallerAddr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(maxEntryAddrs, len(addrs))]
}

// ErrDraining means that this router drains and accepts no announcements of targets.
var ErrDraining = errors.New("this router is draining")

// RecordHeartbeat records a heartbeat of a target. A draining router returns ErrDraining, so that
// its targets send their heartbeats to the replicas again.
func (in *Routed) RecordHeartbeat(st *pb.TargetStatus) error {
	if in.cfg.CallerAddr != "" && in.members.Self().State == pb.RouterState_ROUTER_STATE_DRAINING {
		return ErrDraining
	}
	return in.members.Announce(st, time.Now())
}

// MarkTargetLeaving marks the known incarnation of a target as leaving, so that the target gets
// no new requests. It reports whether an incarnation was known.
func (in *Routed) MarkTargetLeaving(id string) bool { return in.members.TargetGone(id) }

// StartDrain removes this instance from the entry addresses and asks callers to use
// another one.
func (in *Routed) StartDrain() {
	in.members.SetState(pb.RouterState_ROUTER_STATE_DRAINING)
	if in.gateway != nil {
		in.gateway.SetDraining()
	}
}

// InFlight returns the number of callers' requests in progress.
func (in *Routed) InFlight() int {
	if in.gateway == nil {
		return 0
	}
	return in.gateway.InFlight()
}

// Close closes all parts, dependents first. It does not wait for callers' requests, which
// the process must drain before.
func (in *Routed) Close() {
	in.stop()
	if in.gateway != nil {
		in.gateway.Close()
	}
	if in.client != nil {
		in.client.Close()
	}
	if in.service != nil {
		in.service.Close()
		in.node.Close()
	}
	in.closeBase()
}
