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
	// routerBytesPerSecond bounds the control traffic of a router, which may pass on
	// the sums of all routers, and replicaBytesPerSecond that of another instance.
	// controlBurstBytes is what either may send at once.
	routerBytesPerSecond  = 256 << 10
	replicaBytesPerSecond = 64 << 10
	controlBurstBytes     = 128 << 10
	// syncInterval is the least time between two comparisons of views that differ,
	// joinInterval the time between tries to reach a seed while none has answered.
	// After a restart of all, routers serve nobody until they know targets.
	// syncDatagrams of 1,400 bytes take 60 ms of a replica's link at most.
	syncInterval  = 200 * time.Millisecond
	joinInterval  = 100 * time.Millisecond
	syncDatagrams = 16
	// tablesPerSnapshot is the number of tables that a replica applies again at a start,
	// at most: each is a change of the whole text, and routers wait for the last one.
	tablesPerSnapshot = 16
	// maxEntryAddrs is the most addresses in one answer to callers.
	maxEntryAddrs = 64
)

// RoutedConfig sets up a Routed instance.
type RoutedConfig struct {
	ID         string
	DataCentre string
	// PeerListen is the IP:port for other instances, TCP and UDP.
	PeerListen string
	// CallerAddr is the IP:port for callers; empty if none are served here.
	CallerAddr string
	// Seeds are peer addresses to find the others by. Founders are those of
	// them that form the system; a replica with JoinOnly never forms one.
	Seeds    []string
	Founders []string
	JoinOnly bool
	// DataDir is the folder of a control replica; empty for none.
	DataDir   string
	PeerToken string
	// TargetLease is how long a target is listed without news of it.
	TargetLease time.Duration
	RetryLimits balance.RetryLimits
	// Decode reads routing tables; Dialect, Prepare, NotRun and Hints speak to targets.
	Decode  routesync.Decode
	Dialect *forward.Dialect
	Prepare func(x *filter.Exchange, target, holder *pb.TargetStatus)
	NotRun  func(status int, h http.Header) bool
	Hints   func(status int, h http.Header) filter.Hints
	Logger  *log.Logger
}

// Routed is an instance that serves a routing table: a router for callers, a
// control replica of the table, or both.
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
	// heartbeatRate meters those that targets send here.
	heartbeatRate rateMeter

	// seeds are the peer addresses to find the others by; they may change.
	seedsMu sync.Mutex
	seeds   []string
}

// StartRouted opens the parts of an instance and serves its peers.
func StartRouted(cfg RoutedConfig) (*Routed, error) {
	in := &Routed{cfg: cfg, seeds: cfg.Seeds}
	in.init(cfg.ID, &Listeners{}, cfg.Logger)
	steps := []struct {
		name string
		run  func() error
	}{
		{"listen", func() error { return in.listeners.openPeerOnce(cfg.PeerListen) }},
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

// Metrics serves the counters and histograms.
func (in *Routed) Metrics() http.Handler { return in.metrics }

// Gateway serves callers; nil at an instance without an address for them.
func (in *Routed) Gateway() *gateway.Gateway { return in.gateway }

func (in *Routed) serve() {
	in.work.Go(func() {
		if err := in.server.Serve(in.listeners.Peer); err != nil {
			in.fail(errs.Wrap(err, "listen peer", ""))
		}
	})
	in.work.Go(func() { in.sync.Run(in.ctx) })
	in.work.Go(func() { in.reports.collector.Run(in.ctx) })
	if in.balancer != nil {
		in.work.Go(in.publishInFlight)
	}
	if in.node != nil {
		in.work.Go(in.persistFleet)
		in.work.Go(func() {
			select {
			case <-in.ctx.Done():
			case <-in.node.Done():
				in.fail(in.node.Err())
			}
		})
	}
}

// Ready tells whether callers are served here.
func (in *Routed) Ready() bool {
	return in.holder.Number() > 0 && in.members.Self().State == pb.RouterState_ROUTER_STATE_SERVING
}

// EntryAddrs returns up to maxEntries addresses of routers that serve callers, in
// random order.
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

// ErrDraining means that this router was told to leave and takes no announcements.
var ErrDraining = errors.New("this router drains")

// Announce takes a target's own announcement. It fails with ErrDraining at a router
// that leaves, whose targets turn to the replicas.
func (in *Routed) Announce(st *pb.TargetStatus) error {
	if in.cfg.CallerAddr != "" && in.members.Self().State == pb.RouterState_ROUTER_STATE_DRAINING {
		return ErrDraining
	}
	return in.members.Announce(st, time.Now())
}

// TargetGone ends the known incarnation of a target; false if none is known.
func (in *Routed) TargetGone(id string) bool { return in.members.TargetGone(id) }

// StartDrain takes this instance off the entries and has callers told to leave.
func (in *Routed) StartDrain() {
	in.members.SetState(pb.RouterState_ROUTER_STATE_DRAINING)
	if in.gateway != nil {
		in.gateway.SetDraining()
	}
}

// InFlight returns the callers' requests being served.
func (in *Routed) InFlight() int {
	if in.gateway == nil {
		return 0
	}
	return in.gateway.InFlight()
}

// Close ends all parts in the reverse order of their use.
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
