package instance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/bodybuffer"
	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/gateway"
	"github.com/wigeonwood/wigeonwood/internal/notice"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/picker"
	"github.com/wigeonwood/wigeonwood/internal/quarantine"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/routesync"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

const (
	// routerBytesPerSecond bounds the control traffic of a router. It is higher than
	// replicaBytesPerSecond, the bound of an instance that serves no callers, because a
	// router may relay the in-flight counts summed over all routers. controlBurstBytes
	// is the burst of the token bucket in both cases.
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
	// tablesPerSnapshot is the number of log entries after which a replica takes a
	// snapshot, and so the maximum number of tables that the replica replays from the log
	// at a start. The number is small because each replayed table rewrites the full text
	// of the table, and routers wait until the last one is applied.
	tablesPerSnapshot = 16
	// maxEntryAddrs is the maximum number of entry addresses in the reply to one lookup.
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
	// Founders are the seeds that form the Raft group when the fleet first starts. A
	// replica with JoinOnly never forms a group; it only joins an existing one.
	Seeds    []string
	Founders []string
	JoinOnly bool
	// DataDir is the data folder of the control replica; empty if this instance is not a
	// replica.
	DataDir   string
	PeerToken string
	// TargetLease is the time after the last heartbeat of a target at which the target
	// is no longer listed, so that it gets no more requests.
	TargetLease time.Duration
	// NoticeCopies is the number of other instances that must hold the notice that a target
	// leaves before it is acknowledged.
	NoticeCopies int
	RetryLimits  balance.RetryLimits
	// Bodies are the limits on the request bodies in memory.
	Bodies bodybuffer.Limits
	// ColdOverrun and ColdSlack bound the requests that a cold target receives in any second
	// (permits.ColdBound); nil for the defaults.
	ColdOverrun, ColdSlack *float64
	// Decode decodes the text of a routing table.
	Decode routesync.Decode
	// Dialect defines the headers of the protocol between routers and targets.
	Dialect *forward.Dialect
	// Prepare sets the headers for one target on an exchange. holder is a target that
	// has cached parts of the prompt; it may be nil.
	Prepare func(x *filter.Exchange, target, holder *pb.TargetStatus)
	// NotRun reports whether a response declares that its request did not run.
	NotRun func(status int, h http.Header) bool
	// Hints returns the drain and backpressure signals in a response.
	Hints  func(status int, h http.Header) filter.Hints
	Logger *log.Logger
}

// Routed is an instance of a fleet that routes by a routing table, whereas Instance routes
// by the contracts of customers. It is a router, a control replica that stores the table, or
// both.
type Routed struct {
	base
	cfg RoutedConfig
	// activeTable holds the active routing table.
	activeTable routing.Holder
	sync        *routesync.Sync
	client      *control.Client
	node        *replica.Node
	service     *control.Service
	balancer    *balance.Balancer
	// markCold makes the targets of a data centre count as cold. It is set once this instance
	// can serve callers.
	markCold atomic.Pointer[func(dataCentre string)]
	picker   *picker.Picker
	costs    *costReports
	// paceChanged is signalled when a target's pace has changed between usual and unusual.
	paceChanged chan struct{}
	// invalidLoadAt is the time of the last log line about an invalid load report, in Unix
	// nanoseconds.
	invalidLoadAt atomic.Int64
	guard         *quarantine.Guard
	gateway       *gateway.Gateway
	bodies        *bodybuffer.Pool
	reports       *reports
	// notices keeps the notices of leaving targets on the disk of a replica; nil at other
	// instances. spread remembers those that enough replicas hold.
	notices *notice.Store
	spread  spreadNotices
	// heartbeatRate meters the heartbeats that targets send to this instance.
	heartbeatRate rateMeter

	// seeds are the peer addresses through which to join, as last set by SetSeeds.
	seedsMu sync.Mutex
	seeds   []string
}

// StartRouted starts an instance that serves its peers. It starts no HTTP servers: the
// process that uses the package runs them and passes the requests of callers to Gateway. On
// an error, StartRouted closes everything that it has started.
func StartRouted(cfg RoutedConfig) (*Routed, error) {
	in := &Routed{cfg: cfg, seeds: cfg.Seeds, paceChanged: make(chan struct{}, 1)}
	in.init(cfg.ID, &Listeners{}, cfg.Logger)
	in.bodies = bodybuffer.New(cfg.Bodies, in.logger, in.scope)
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

// Bodies returns the pool of request bodies.
func (in *Routed) Bodies() *bodybuffer.Pool { return in.bodies }

// Metrics returns the handler of the metrics page.
func (in *Routed) Metrics() http.Handler { return in.metrics }

// Gateway returns the gateway that serves callers, nil if the instance is not a router.
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
		in.background.Go(func() { in.guard.Run(in.ctx) })
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

// Ready reports whether this instance can serve callers: it has a routing table and is not
// draining.
func (in *Routed) Ready() bool {
	return in.activeTable.Number() > 0 && in.members.Self().State == pb.RouterState_ROUTER_STATE_SERVING
}

// EntryAddrs returns up to maxEntryAddrs entry addresses in random order. These are the
// caller addresses of the routers that are serving and have a routing table.
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

// ErrDraining means that this router is draining and accepts no heartbeats of targets.
var ErrDraining = errors.New("this router is draining")

// ErrNotHandedOff means that too few other instances or disks hold the notice that a target
// leaves: it could be lost, so the target must send it to another instance.
var ErrNotHandedOff = errors.New("the notice was not handed to other instances")

// ErrUnknownTarget means that this instance knows no incarnation of a target that leaves, so
// that it can't keep the notice.
var ErrUnknownTarget = errors.New("the target is not known here")

// RecordHeartbeat applies a heartbeat of a target to the membership. At a draining router it
// returns ErrDraining instead, so that the target sends its heartbeats to the replicas
// again. If the heartbeat says that the target leaves, RecordHeartbeat waits until other
// instances hold that as well; ErrNotHandedOff means that they don't.
func (in *Routed) RecordHeartbeat(ctx context.Context, st *pb.TargetStatus) error {
	if in.cfg.CallerAddr != "" && in.members.Self().State == pb.RouterState_ROUTER_STATE_DRAINING {
		return ErrDraining
	}
	err := in.members.Announce(st, time.Now())
	if st.Leaving {
		// A repeated heartbeat is not applied, but the first one may not have been handed off.
		return errors.Join(err, in.handOff(ctx, st.Id))
	}
	return err
}

// MarkTargetLeaving marks the known incarnation of a target as leaving, so that it gets no
// new requests, and waits until other instances hold that as well. It fails with
// ErrUnknownTarget or ErrNotHandedOff.
func (in *Routed) MarkTargetLeaving(ctx context.Context, id string) error {
	if !in.members.LastIncarnationLeaves(id) {
		return errs.Wrap(ErrUnknownTarget, "leave", id)
	}
	return in.handOff(ctx, id)
}

// handOff waits until other instances hold the notice that a target leaves and enough disks do.
func (in *Routed) handOff(ctx context.Context, id string) error {
	stored := make(chan error, 1)
	go func() { stored <- in.storeNotice(ctx, id) }()
	err := in.members.HandOffLeaving(ctx, id)
	if err = errors.Join(err, <-stored); err != nil {
		return fmt.Errorf("%w: %w", ErrNotHandedOff, err)
	}
	return nil
}

// StartDrain announces that this instance is draining, which removes it from the entry
// addresses. From then on, its responses ask callers to use another connection.
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

// Close closes all parts, in the reverse order of their dependencies. It does not wait for
// callers' requests: the process must drain them first.
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
