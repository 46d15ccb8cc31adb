package instance

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/gateway"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/routesync"
	"github.com/wigeonwood/wigeonwood/internal/routing"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// shareInterval lies between two messages about requests in flight.
	shareInterval = 250 * time.Millisecond
	// routedBytesPerSecond and routedBurstBytes bound the control traffic of a
	// routed instance.
	routedBytesPerSecond = 64 << 10
	routedBurstBytes     = 128 << 10
	// maxEntries is the most addresses in one answer to callers.
	maxEntries = 64
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
	SendLimits  balance.SendLimits
	// Decode reads routing tables; Dialect, Prepare and NotRun speak to targets.
	Decode  routesync.Decode
	Dialect *forward.Dialect
	Prepare func(x *filter.Exchange, target, holder *pb.TargetStatus)
	NotRun  func(status int, h http.Header) bool
	Logger  *log.Logger
}

// Routed is an instance that serves a routing table: a router for callers, a
// control replica of the table, or both.
type Routed struct {
	cfg     RoutedConfig
	scope   tally.Scope
	metrics http.Handler
	closer  io.Closer

	listeners *Listeners
	server    *transport.Server
	pool      *transport.Pool
	members   *member.Members
	holder    routing.Holder
	sync      *routesync.Sync
	client    *control.Client
	node      *replica.Node
	service   *control.Service
	balancer  *balance.Balancer
	gateway   *gateway.Gateway

	// seeds are the peer addresses to find the others by; they may change.
	seedsMu sync.Mutex
	seeds   []string

	ctx    context.Context
	stop   context.CancelFunc
	work   sync.WaitGroup
	failed chan error
}

// StartRouted opens the parts of an instance and serves its peers.
func StartRouted(cfg RoutedConfig) (*Routed, error) {
	in := &Routed{cfg: cfg, seeds: cfg.Seeds, listeners: &Listeners{}, failed: make(chan error, 1)}
	in.ctx, in.stop = context.WithCancel(context.Background())
	in.scope, in.metrics, in.closer = newMetrics(cfg.ID)
	steps := []struct {
		name string
		run  func() error
	}{
		{"listen", func() error { return in.listeners.openPeerOnce(cfg.PeerListen) }},
		{"membership", in.startMembers},
		{"routing table", in.startSync},
		{"control replica", in.startReplica},
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

// Failed delivers an error that must end the process, such as a failed sync.
func (in *Routed) Failed() <-chan error { return in.failed }

// Metrics serves the counters and histograms.
func (in *Routed) Metrics() http.Handler { return in.metrics }

// Gateway serves callers; nil at an instance without an address for them.
func (in *Routed) Gateway() *gateway.Gateway { return in.gateway }

func (in *Routed) startMembers() error {
	allowed := budget.New(budget.Config{Scope: in.scope, BytesPerSecond: routedBytesPerSecond, BurstBytes: routedBurstBytes})
	in.server = transport.NewServer(in.cfg.PeerToken, in.cfg.Logger)
	in.server.SetMeter(allowed.Served())
	in.pool = transport.NewPool(in.cfg.PeerToken, nil, allowed)
	members, err := member.Start(member.Config{
		Self: &pb.RouterStatus{
			Id:          in.cfg.ID,
			Incarnation: uint64(time.Now().UnixNano()),
			DataCentre:  in.cfg.DataCentre,
			CallerAddr:  in.cfg.CallerAddr,
			PeerAddr:    in.cfg.PeerListen,
			State:       pb.RouterState_ROUTER_STATE_SERVING,
			Replica:     in.cfg.DataDir != "",
		},
		Seeds:      in.cfg.Seeds,
		Conn:       in.listeners.Gossip,
		Token:      in.cfg.PeerToken,
		Budget:     allowed,
		Logger:     in.cfg.Logger,
		Scope:      in.scope,
		Intervals:  member.Intervals{TargetLease: in.cfg.TargetLease},
		OnInFlight: in.inFlightTold,
	})
	in.members = members
	return err
}

func (in *Routed) startSync() error {
	in.sync = routesync.New(routesync.Config{
		Holder:  &in.holder,
		Decode:  in.cfg.Decode,
		Serves:  in.cfg.CallerAddr != "",
		Members: in.members,
		Pool:    in.pool,
		Server:  in.server,
		Logger:  in.cfg.Logger,
		Scope:   in.scope,
	})
	in.client = control.NewClient(control.ClientConfig{
		Pool:     in.pool,
		Replicas: in.replicaAddrs,
		Logger:   in.cfg.Logger,
		Scope:    in.scope,
		Group:    controlGroup,
	})
	return nil
}

// replicaAddrs returns the peer addresses of the control replicas that the
// membership knows, then the seeds.
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

// SetSeeds replaces the peer addresses to find the others by.
func (in *Routed) SetSeeds(seeds []string) {
	in.seedsMu.Lock()
	in.seeds = seeds
	in.seedsMu.Unlock()
	in.members.SetSeeds(seeds)
}

func (in *Routed) startReplica() error {
	if in.cfg.DataDir == "" {
		return nil
	}
	machine := state.New(state.WithRoutingObserver(func(t *state.RoutingTable) {
		in.sync.Committed(t.Number, t.Document, t.Command)
	}))
	node, err := replica.Start(in.ctx, replica.Config{
		Dir:           in.cfg.DataDir,
		Addr:          in.cfg.PeerListen,
		DataCentre:    in.cfg.DataCentre,
		Founders:      in.cfg.Founders,
		JoinOnly:      in.cfg.JoinOnly,
		OpenAdmission: true,
		Peers:         in.replicaAddrs,
		Group:         controlGroup,
		Machine:       machine,
		Server:        in.server,
		Pool:          in.pool,
		Logger:        in.cfg.Logger,
		Scope:         in.scope,
	})
	if err != nil {
		return err
	}
	in.node = node
	in.service = control.NewService(control.Config{
		Log:    node,
		State:  machine,
		Group:  controlGroup,
		Server: in.server,
		Pool:   in.pool,
		Logger: in.cfg.Logger,
		Scope:  in.scope,
	})
	return nil
}

func (in *Routed) startGateway() error {
	if in.cfg.CallerAddr == "" {
		return nil
	}
	in.balancer = balance.New(in.members)
	g, err := gateway.New(gateway.Config{
		Tables:  &in.holder,
		Picker:  in.balancer,
		Sends:   balance.NewSends(in.cfg.SendLimits, in.callerRouters),
		Forward: forward.Config{Dialect: in.cfg.Dialect, Scope: in.scope},
		Prepare: in.cfg.Prepare,
		NotRun:  in.cfg.NotRun,
		Logger:  in.cfg.Logger,
		Scope:   in.scope,
	})
	in.gateway = g
	return err
}

// callerRouters counts the routers that serve callers.
func (in *Routed) callerRouters() int {
	n := 0
	for _, r := range in.members.Routers() {
		if r.CallerAddr != "" {
			n++
		}
	}
	return n
}

func (in *Routed) serve() {
	in.work.Go(func() {
		if err := in.server.Serve(in.listeners.Peer); err != nil {
			in.fail(errs.Wrap(err, "listen peer", ""))
		}
	})
	in.work.Go(func() { in.sync.Run(in.ctx) })
	if in.balancer != nil {
		in.work.Go(in.shareInFlight)
	}
	if in.node != nil {
		in.work.Go(func() {
			select {
			case <-in.ctx.Done():
			case <-in.node.Done():
				in.fail(in.node.Err())
			}
		})
	}
}

func (in *Routed) fail(err error) {
	select {
	case in.failed <- err:
	default:
	}
}

// shareInFlight tells the collectors what is in flight here and, as one of them,
// the other routers what is in flight at all.
func (in *Routed) shareInFlight() {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	told := false
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-ticker.C:
		}
		collectors := balance.Collectors(in.members.Routers())
		counts := in.balancer.OwnCounts()
		if len(counts) > 0 || told {
			in.members.SendInFlight(in.peerAddrs(collectors), member.InFlight{Counts: nonEmpty(counts)})
		}
		told = len(counts) > 0
		for _, c := range collectors {
			if c.Id == in.cfg.ID {
				in.members.SendInFlight(in.callerPeers(), member.InFlight{Counts: in.balancer.Sums(), Totals: true})
			}
		}
	}
}

// nonEmpty has a router without requests say so.
func nonEmpty(counts map[uint32]int) map[uint32]int {
	if len(counts) == 0 {
		return map[uint32]int{0: 0}
	}
	return counts
}

// peerAddrs returns the peer addresses of other routers.
func (in *Routed) peerAddrs(routers []*pb.RouterStatus) []string {
	var addrs []string
	for _, r := range routers {
		if r.Id != in.cfg.ID {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

// callerPeers returns the peer addresses of the other routers that serve
// callers.
func (in *Routed) callerPeers() []string {
	var addrs []string
	for _, r := range in.members.Routers() {
		if r.CallerAddr != "" && r.Id != in.cfg.ID {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

func (in *Routed) inFlightTold(router string, f member.InFlight) {
	switch {
	case in.balancer == nil:
	case f.Totals:
		in.balancer.TakeTotals(f.Counts)
	default:
		in.balancer.TakeCounts(router, f.Counts)
	}
}

// Ready tells whether callers are served here.
func (in *Routed) Ready() bool {
	return in.holder.Number() > 0 && in.members.Self().State == pb.RouterState_ROUTER_STATE_SERVING
}

// Entries returns up to maxEntries addresses of routers that serve callers, in
// random order.
func (in *Routed) Entries() []string {
	var addrs []string
	for _, r := range in.members.Routers() {
		if r.CallerAddr != "" && r.State == pb.RouterState_ROUTER_STATE_SERVING && r.RoutingTable > 0 {
			addrs = append(addrs, r.CallerAddr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(maxEntries, len(addrs))]
}

// Announce takes a target's own announcement.
func (in *Routed) Announce(st *pb.TargetStatus) error {
	return in.members.Announce(st, time.Now())
}

// TargetGone ends the known incarnation of a target; false if none is known.
func (in *Routed) TargetGone(id string) bool { return in.members.TargetGone(id) }

// PutTable commits a routing table and returns the number in force after it. It
// goes as the difference to the table in force here, and whole if the log holds
// another one.
func (in *Routed) PutTable(ctx context.Context, number uint64, text []byte) (uint64, error) {
	if base, held := in.sync.Present(); base > 0 && base < number {
		delta, err := document.Pack(document.Diff(held, text))
		if err != nil {
			return 0, err
		}
		result, err := in.putTable(ctx, &pb.RoutingTable{Number: number, Base: base, Delta: delta})
		if err != nil || !result.WholeNeeded {
			return result.GetNumber(), err
		}
	}
	packed, err := document.Pack(text)
	if err != nil {
		return 0, err
	}
	result, err := in.putTable(ctx, &pb.RoutingTable{Number: number, Document: packed})
	return result.GetNumber(), err
}

func (in *Routed) putTable(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	if len(t.Document)+len(t.Delta) > state.MaxRoutingTableBytes {
		return nil, ErrTableTooLarge
	}
	return in.client.PutRoutingTable(ctx, t)
}

var (
	// ErrTableTooLarge means that a routing table is over the bound of the log.
	ErrTableTooLarge = errors.New("the routing table is too large")
	// ErrNoTable means that no routing table was committed yet.
	ErrNoTable = errors.New("no routing table is in force")
)

// ReadTable returns the document of the newest committed routing table, as a
// quorum confirms it.
func (in *Routed) ReadTable(ctx context.Context) ([]byte, error) {
	reply, err := in.client.Query(ctx, &pb.QueryRequest{What: pb.QueryRequest_WHAT_ROUTING_TABLE})
	if err != nil {
		return nil, err
	}
	if reply.RoutingTable == nil {
		return nil, ErrNoTable
	}
	return document.Unpack(reply.RoutingTable.Document)
}

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

// Leave tells the other instances that this one is gone.
func (in *Routed) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := in.members.Leave(ctx); err != nil {
		in.cfg.Logger.Warn().Err(err).Str("step", "leave").Msg("other instances were not told of the departure")
	}
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
	if in.server != nil {
		in.server.Close()
		in.pool.Close()
	}
	if in.members != nil {
		in.members.Close()
	}
	in.listeners.Close()
	in.work.Wait()
	_ = in.closer.Close()
}
