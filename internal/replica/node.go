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
	// electionTicks is the minimum election timeout and heartbeatTicks the
	// heartbeat interval, both in tick intervals. With the default tick interval
	// these are 800 ms and 200 ms.
	electionTicks  = 16
	heartbeatTicks = 4
	// leaseMarginTicks shortens the leader lease. A follower measures its election
	// timeout in ticks and may count up to three ticks more than have elapsed on
	// its clock: one buffered tick at each end of the timeout, and one by rounding.
	leaseMarginTicks = 3
	// clockDriftBound is the largest relative difference assumed between the
	// rates of two instances' monotonic clocks.
	clockDriftBound = 0.05

	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 32 << 20
	// trailingEntries and trailingBytes bound the entries that stay in memory
	// after a snapshot covers them, so that slow followers need no snapshot.
	trailingEntries = 5_000
	trailingBytes   = 16 << 20

	// maxProposalBytes is the largest size of one entry's data.
	maxProposalBytes = 1 << 20

	defaultMaxBatch = 1024
	// The sizes of the loop's input queues; proposalQueueSize also applies to
	// reads.
	proposalQueueSize = 4096
	batchQueueSize    = 256
	otherQueueSize    = 256
)

// Config is the configuration of a Node. Optional fields that are zero get their
// defaults.
type Config struct {
	// Dir is the journal's directory.
	Dir string
	// FS is the file system of the journal, instead of Dir; optional.
	FS journal.FS
	// Addr is this instance's peer address: IP address and port.
	Addr       string
	DataCentre string
	// Founders are the peer addresses of the replicas that bootstrap the cluster.
	Founders []string
	// JoinOnly is set if a replica with an empty directory must not bootstrap a
	// cluster but must join a running one.
	JoinOnly bool
	// OpenAdmission is set if replicas at new addresses may join without an
	// operator. The leader then also removes voters that were replaced.
	OpenAdmission bool
	// Peers returns addresses of replicas that accept join requests, in addition
	// to Founders; optional.
	Peers   func() []string
	Group   uint32
	Machine StateMachine
	// Server is the server on which Start registers the node's methods. Serve must
	// not have been called yet.
	Server *transport.Server
	Pool   *transport.Pool
	Logger *log.Logger
	Scope  tally.Scope

	// OnApplied is called after the state machine has applied entries or loaded a
	// snapshot, but not while the state machine lacks entries that were known to be
	// committed at the start. OnApplied must not block; optional.
	OnApplied func()

	// TickInterval is the unit of all timeouts; optional.
	TickInterval time.Duration
	// SnapshotEntries and SnapshotBytes are the number and the size of applied
	// entries after which the replica takes a snapshot; optional.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// MaxBatch is the largest number of proposals that share one sync (group
	// commit), and of reads that share one heartbeat round; optional.
	MaxBatch int
	// TrailingEntries is the largest number of entries that stay in memory after
	// a snapshot covers them; optional.
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

// leasePeriod returns the duration of the leader lease. The lease is counted from the
// start of the loop pass that sent the heartbeats of the last confirmed round, which
// is earlier than the sending.
func (c *Config) leasePeriod() time.Duration {
	period := time.Duration(electionTicks-leaseMarginTicks) * c.TickInterval
	return time.Duration(float64(period) * (1 - clockDriftBound))
}

// Node is one running replica of a Raft group. It implements RaftNode.
type Node struct {
	cfg     Config
	id      string
	journal *journal.Journal
	metrics metrics
	syncs   atomic.Uint64
	// electionSeed seeds the random election timeouts. It is random at each start, so
	// that the timeouts of two replicas do not coincide repeatedly.
	electionSeed uint64
	// now returns the time, with the reading of the monotonic clock.
	now func() time.Time

	// Only the loop goroutine uses the following fields.
	core  *consensus.Core
	peers *peerSet
	lease leaseClock
	reads readQueue
	// transfers holds the snapshot that is being sent to each follower, by its ID.
	transfers map[string]*journal.Snapshot
	// leaderSince is when this node became the leader; zero on a follower.
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
	// started is closed when the core exists and the loop accepts inputs.
	started chan struct{}

	mu     sync.Mutex
	err    error
	status status
	// leaderSeenAt is when a leader was last known.
	leaderSeenAt time.Time
}

var _ RaftNode = (*Node)(nil)

// Start opens the journal, registers the node's methods on the server and runs
// the node until ctx is done, Close is called or an error stops the node. Call the
// server's Serve only after Start has returned. Start does not wait for peers.
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
		n.logEvent(log.WarnLevel, "open journal").Int64("bytes", state.TornBytes).Msg("truncated a torn write at the end of the journal")
	}
	n.register()
	n.tasks.Go(func() {
		// Not deferred: a panic about a violated invariant must end the process
		// at once, without a shutdown on an invalid state.
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

// restore loads the newest snapshot into the state machine.
func (n *Node) restore(state *journal.State) error {
	if state.Snapshot == nil {
		return nil
	}
	return n.applier.load(state.Snapshot.Index)
}

// run bootstraps the replica if its log is empty, then runs the loop until the
// node stops.
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

// running reports whether the loop has started to accept inputs.
func (n *Node) running() bool {
	select {
	case <-n.started:
		return true
	default:
		return false
	}
}

// shutdown stops everything that the loop started and fails all waiting calls.
func (n *Node) shutdown() {
	n.cancel()
	// Index 0 is below all entries, so all waiting proposals fail.
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

// fail records err as the reason why the node stops, unless one is recorded
// already, and stops the node.
func (n *Node) fail(err error) {
	if n.ctx.Err() != nil && errors.Is(err, n.ctx.Err()) {
		return
	}
	n.mu.Lock()
	if n.err == nil {
		n.err = err
	}
	n.mu.Unlock()
	n.logEvent(log.ErrorLevel, errs.Step(err)).Err(err).Msg("stopping the replica after an error")
	n.cancel()
}

// Done returns a channel that is closed once the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that stopped the node, nil after Close. If it is not nil,
// the process must exit too, since the node does not retry a failed sync.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Syncs returns the number of log syncs since the start.
func (n *Node) Syncs() uint64 { return n.syncs.Load() }

// ID returns the replica's ID, which stays the same as long as its directory exists.
func (n *Node) ID() string { return n.id }

// Close stops the node and waits until all its goroutines have ended.
func (n *Node) Close() {
	n.cancel()
	n.tasks.Wait()
}

func (n *Node) logEvent(level log.Level, step string) *log.Entry {
	return n.cfg.Logger.WithLevel(level).Str("step", step).Str("peer", n.cfg.Addr).Str("replica", n.id).Uint32("group", n.cfg.Group)
}
