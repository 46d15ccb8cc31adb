package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	defaultTickInterval = 50 * time.Millisecond
	// electionTicks and heartbeatTicks count tick intervals.
	electionTicks  = 16
	heartbeatTicks = 4
	// leaseMarginTicks cover that a follower's count of ticks may run ahead of
	// its clock: one buffered tick at each end, and one for the rounding.
	leaseMarginTicks = 3
	// clockDriftBound is the largest relative difference in the rates of two
	// instances' monotonic clocks.
	clockDriftBound = 0.05

	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 32 << 20
	// trailingEntries and trailingBytes bound what stays in memory behind a
	// snapshot, for slow followers.
	trailingEntries = 5_000
	trailingBytes   = 16 << 20

	// maxProposalBytes bounds the data of one entry.
	maxProposalBytes = 1 << 20

	defaultMaxBatch = 1024
	// proposalQueueSize and queuedBatches bound the loop's inputs.
	proposalQueueSize = 4096
	batchQueueSize    = 256
	otherQueueSize    = 256
)

// Config sets up a Node. Zero values of the optional fields mean defaults.
type Config struct {
	// Dir is the folder of the journal.
	Dir string
	// FS replaces the folder at Dir; optional.
	FS journal.FS
	// Addr is this instance's peer address, IP number and port.
	Addr       string
	DataCentre string
	// Founders are the peer addresses that form the system together.
	Founders []string
	// JoinOnly keeps a replica with an empty folder from forming a system; it
	// joins one that runs.
	JoinOnly bool
	// OpenAdmission admits replicas at new addresses without an operator.
	OpenAdmission bool
	// Peers returns further addresses of replicas to join through; optional.
	Peers   func() []string
	Group   uint32
	Machine StateMachine
	// Server must not serve yet when Start is called.
	Server *transport.Server
	Pool   *transport.Pool
	Logger *log.Logger
	Scope  tally.Scope

	// OnApplied is called after the machine has applied entries or loaded a snapshot,
	// once it has all that was known to be committed at the start. It must not block;
	// optional.
	OnApplied func()

	// TickInterval is the unit of all timeouts; optional.
	TickInterval time.Duration
	// SnapshotEntries and SnapshotBytes of applied entries cause a snapshot;
	// optional.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// MaxBatch bounds the proposals that share one sync; optional.
	MaxBatch int
	// TrailingEntries bounds the entries kept in memory behind a snapshot; optional.
	TrailingEntries uint64
}

func (c *Config) setDefaults() error {
	if _, _, err := net.SplitHostPort(c.Addr); err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	if c.Machine == nil || c.Server == nil || c.Pool == nil || c.Logger == nil {
		return errors.New("machine, server, pool and logger are required")
	}
	c.setOptional()
	return nil
}

func (c *Config) setOptional() {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.TickInterval == 0 {
		c.TickInterval = defaultTickInterval
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = trailingEntries
	}
}

// leasePeriod is how long after its heartbeats left a confirmed leader may act.
func (c *Config) leasePeriod() time.Duration {
	period := time.Duration(electionTicks-leaseMarginTicks) * c.TickInterval
	return time.Duration(float64(period) * (1 - clockDriftBound))
}

// Node is one running replica. It implements Log.
type Node struct {
	cfg     Config
	id      string
	journal *journal.Journal
	metrics metrics
	syncs   atomic.Uint64
	// electionSeed is drawn anew at each start, so that two replicas whose election
	// timeouts coincide do so once only.
	electionSeed uint64
	// now is the monotonic clock.
	now func() time.Time

	// The loop goroutine alone uses these.
	core      *consensus.Core
	peers     *peerSet
	lease     leaseClock
	reads     readQueue
	transfers map[string]*journal.Snapshot
	// leaderSince is when this node became the leader; zero while it is not.
	leaderSince time.Time

	proposals         chan *proposal
	readRequests      chan *readRequest
	membershipChanges chan *membershipChange
	incoming          chan *pb.RaftBatch
	unreachable       chan string
	applier           *applier
	waiters           *waiters

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	done   chan struct{}
	// started is closed when the loop begins.
	started chan struct{}

	mu     sync.Mutex
	err    error
	status status
	// leaderSeenAt is when a leader was last known.
	leaderSeenAt time.Time
}

var _ Log = (*Node)(nil)

// Start opens the journal, registers the node's methods on the server and runs
// the node until ctx ends, Close or a failure. The server's Serve may only be
// called after Start returned. Start waits for no peer.
func Start(ctx context.Context, cfg Config) (*Node, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, errs.Wrap(err, "start replica", cfg.Addr)
	}
	fs := cfg.FS
	if fs == nil {
		var err error
		if fs, err = journal.NewDirFS(cfg.Dir); err != nil {
			return nil, errs.Wrap(err, "start replica", cfg.Addr)
		}
	}
	j, state, err := journal.Open(fs, nil)
	if err != nil {
		return nil, errs.Wrap(err, "start replica", cfg.Addr)
	}
	n := newNode(ctx, cfg, j, state)
	if err := n.restore(state); err != nil {
		n.cancel()
		return nil, errs.Wrap(errors.Join(err, j.Close()), "restore state", cfg.Addr)
	}
	if state.TornBytes > 0 {
		n.logEvent(log.WarnLevel, "open journal").Int64("bytes", state.TornBytes).Msg("a torn tail was cut off")
	}
	n.register()
	n.tasks.Go(func() {
		// Not deferred: a violated invariant must end the process as it is.
		n.run(state)
		n.shutdown()
		close(n.done)
	})
	return n, nil
}

func newNode(ctx context.Context, cfg Config, j *journal.Journal, state *journal.State) *Node {
	n := &Node{
		cfg:               cfg,
		id:                state.ID,
		journal:           j,
		metrics:           newMetrics(cfg.Scope),
		electionSeed:      rand.Uint64(),
		now:               time.Now,
		transfers:         make(map[string]*journal.Snapshot),
		proposals:         make(chan *proposal, proposalQueueSize),
		readRequests:      make(chan *readRequest, proposalQueueSize),
		membershipChanges: make(chan *membershipChange, otherQueueSize),
		incoming:          make(chan *pb.RaftBatch, batchQueueSize),
		unreachable:       make(chan string, otherQueueSize),
		waiters:           newWaiters(),
		done:              make(chan struct{}),
		leaderSeenAt:      time.Now(),
		started:           make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.peers = newPeerSet(n)
	n.applier = newApplier(n, state.Snapshot, state.HardState.GetCommit())
	return n
}

// restore loads the newest snapshot into the machine.
func (n *Node) restore(state *journal.State) error {
	if state.Snapshot == nil {
		return nil
	}
	return n.applier.load(state.Snapshot.Index)
}

// run forms or joins a system if the replica has no log, then drives the core.
func (n *Node) run(state *journal.State) {
	if state.Empty() {
		var err error
		if state, err = n.bootstrap(state); err != nil {
			n.fail(err)
			return
		}
	} else {
		n.setFormationState(pb.FormationState_FORMATION_STATE_RUNNING)
	}
	n.startCore(state)
	var applying sync.WaitGroup
	applying.Go(n.applier.run)
	n.tasks.Go(n.joinWhileNotMember)
	n.loop()
	n.cancel()
	applying.Wait()
}

func (n *Node) startCore(state *journal.State) {
	n.core = consensus.New(consensus.Config{
		ID:             n.id,
		Group:          n.cfg.Group,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Seed:           n.electionSeed,
	}, consensus.State{HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	n.publish()
	close(n.started)
}

// running tells whether the loop takes inputs.
func (n *Node) running() bool {
	select {
	case <-n.started:
		return true
	default:
		return false
	}
}

// shutdown ends everything that the loop started.
func (n *Node) shutdown() {
	n.cancel()
	n.waiters.failAfter(0)
	n.failQueued()
	n.peers.close()
	for _, s := range n.transfers {
		s.Close()
	}
	if err := n.journal.Close(); err != nil {
		n.logEvent(log.ErrorLevel, "close journal").Err(err).Msg("closing the journal failed")
	}
}

// fail records why the node must end; the first cause counts.
func (n *Node) fail(err error) {
	if n.ctx.Err() != nil && errors.Is(err, n.ctx.Err()) {
		return
	}
	n.mu.Lock()
	if n.err == nil {
		n.err = err
	}
	n.mu.Unlock()
	n.logEvent(log.ErrorLevel, errs.Step(err)).Err(err).Msg("the replica ends")
	n.cancel()
}

// Done is closed once the node has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns why the node ended by itself, nil after Close. The process must
// end too if it is not nil: a failed sync is not retried.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Syncs returns how often the log was synced since the start.
func (n *Node) Syncs() uint64 { return n.syncs.Load() }

// ID returns the replica's identity.
func (n *Node) ID() string { return n.id }

// Close stops the node and waits until it has ended.
func (n *Node) Close() {
	n.cancel()
	n.tasks.Wait()
}

func (n *Node) logEvent(level log.Level, step string) *log.Entry {
	return n.cfg.Logger.WithLevel(level).Str("step", step).Str("peer", n.cfg.Addr).Str("replica", n.id).Uint32("group", n.cfg.Group)
}
