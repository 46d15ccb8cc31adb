package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// simulation runs nodes deterministically: without goroutines, on a simulated
// clock, and with network and file systems in memory. The same seed gives the same
// history.
type simulation struct {
	r     *rand.Rand
	now   time.Duration
	seq   int
	queue eventQueue
	hosts []*simHost

	// cut holds the pairs of sender and receiver address whose messages are
	// dropped.
	cut map[[2]string]bool
	// slow holds the added delay by sender and receiver address.
	slow map[[2]string]time.Duration
	// Probabilities, in percent, that a message is dropped, delayed or duplicated.
	dropPct, delayPct, duplicatePct int
	// maxDelay bounds the extra delay of a delayed message.
	maxDelay time.Duration

	// entries holds the entry that was first applied at each index.
	entries map[uint64]appliedEntry
	leaders map[uint64]string
	// leaseEnd is the latest end of a leader lease seen so far, leaseTerm its term.
	leaseEnd  time.Duration
	leaseTerm uint64

	// open is set if replicas at new addresses may join, as with Config.OpenAdmission.
	open bool

	proposed    int
	pending     []*pendingCall
	acked       []string
	ackedIndex  uint64
	faultCounts map[string]int
}

type appliedEntry struct {
	term uint64
	data string
}

// pendingCall is a proposal or a read that waits for its outcome.
type pendingCall struct {
	data     string
	done     chan outcome
	read     chan readOutcome
	minIndex uint64
}

// simHost is a host with one address and one directory. It runs at most one node at
// a time.
type simHost struct {
	sim         *simulation
	addr        string
	fs          *journaltest.FS
	node        *Node
	machine     *hookMachine
	incarnation int
	frozenUntil time.Duration
	// rate is the speed of the host's clock relative to simulated time, epoch its
	// reading at the start.
	rate  float64
	epoch time.Time
	// afterPass is called after each pass of the node.
	afterPass func()
	// inPass is true while the node runs a pass.
	inPass bool
	// onKill is called when a hook has killed the node within a pass.
	onKill func()
}

// hookMachine calls a hook before each call of the state machine.
type hookMachine struct {
	listMachine
	sim  *simulation
	hook func(step string)
}

func (m *hookMachine) callHook(step string) {
	if m.hook != nil {
		m.hook(step)
	}
}

func (m *hookMachine) Apply(e Entry) []byte {
	m.callHook("apply")
	m.sim.checkApplied(e)
	return m.listMachine.Apply(e)
}

func (m *hookMachine) Snapshot(w io.Writer) error {
	m.callHook("snapshot")
	return m.listMachine.Snapshot(w)
}

func (m *hookMachine) Restore(r io.Reader) error {
	m.callHook("restore")
	return m.listMachine.Restore(r)
}

// failf panics with a message about a property of the simulation that was violated.
func failf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// errKilled is the panic value with which a hook kills the node within a pass.
var errKilled = errors.New("killed")

const simFounders = 3

// defaultMaxDelay is the default of simulation.maxDelay.
const defaultMaxDelay = 2 * time.Second

// newSimulation starts three founders and adds a spare host without a node.
func newSimulation(seed uint64) *simulation { return newSimulationOf(simFounders, seed) }

func newSimulationOf(founders int, seed uint64) *simulation {
	sim := &simulation{
		r:           rand.New(rand.NewPCG(seed, 0)),
		cut:         make(map[[2]string]bool),
		slow:        make(map[[2]string]time.Duration),
		entries:     make(map[uint64]appliedEntry),
		leaders:     make(map[uint64]string),
		faultCounts: make(map[string]int),
		maxDelay:    defaultMaxDelay,
	}
	for range founders + 1 {
		sim.addHost()
	}
	sim.writeFirstEntries()
	return sim
}

// addHost adds a host with an empty directory and without a node.
func (sim *simulation) addHost() *simHost {
	i := len(sim.hosts)
	h := &simHost{
		sim: sim, addr: fmt.Sprintf("10.0.0.%d:1", i+1), fs: journaltest.New(),
		// The rates of any two clocks differ by less than clockDriftBound.
		rate:  1 + clockDriftBound*(sim.r.Float64()-0.5)*0.98,
		epoch: time.Unix(1_700_000_000+int64(i)*1000, 0),
	}
	sim.hosts = append(sim.hosts, h)
	return h
}

func (sim *simulation) founders() []*simHost { return sim.hosts[:len(sim.hosts)-1] }

func (sim *simulation) spare() *simHost { return sim.hosts[len(sim.hosts)-1] }

// writeFirstEntries writes the founding membership at all founders, as bootstrap
// does.
func (sim *simulation) writeFirstEntries() {
	var members []*pb.Member
	for _, h := range sim.founders() {
		n, _ := h.openNode()
		members = append(members, n.selfMember())
	}
	for _, h := range sim.founders() {
		state, err := h.node.writeFirstEntry(&journal.State{}, consensus.NewMembership(members...))
		if err != nil {
			failf("formation: %v", err)
		}
		h.run(state)
	}
}

// seededReader is the random source of replica IDs, so that these depend only on the
// seed.
type seededReader struct{ r *rand.Rand }

func (r seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.r.Uint32())
	}
	return len(p), nil
}

func (h *simHost) openNode() (*Node, *journal.State) {
	j, state, err := journal.Open(h.fs, seededReader{h.sim.r})
	if err != nil {
		failf("open journal at %s: %v", h.addr, err)
	}
	j.SegmentBytes = 2000
	h.machine = &hookMachine{sim: h.sim}
	cfg := Config{
		Addr: h.addr, Machine: h.machine, TickInterval: defaultTickInterval, SnapshotEntries: 40,
		SnapshotBytes: 1 << 20, MaxBatch: 64, TrailingEntries: 10, OpenAdmission: h.sim.open,
		Logger: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	}
	cfg.setOptional()
	n := newNode(context.Background(), cfg, j, state)
	n.now = h.clock
	n.leaderSeenAt = h.clock()
	n.electionSeed = h.sim.r.Uint64()
	n.peers.openSender = func(id, addr string) messageSender { return &simSender{h, addr, h.incarnation} }
	h.node = n
	if err := n.restore(state); err != nil {
		failf("restore at %s: %v", h.addr, err)
	}
	return n, state
}

func (h *simHost) clock() time.Time { return h.epoch.Add(time.Duration(float64(h.sim.now) * h.rate)) }

// simTime converts a reading of the host's clock to simulated time.
func (h *simHost) simTime(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(h.epoch)) / h.rate)
}

// start starts a node on the host's directory. With an empty directory the node joins the
// cluster.
func (h *simHost) start() {
	if h.node != nil {
		return
	}
	_, state := h.openNode()
	h.run(state)
}

// run starts the node's core, its ticks and its join requests.
func (h *simHost) run(state *journal.State) {
	h.incarnation++
	h.frozenUntil = 0
	h.node.startCore(state)
	incarnation := h.incarnation
	h.tickAt(h.sim.now+time.Duration(h.sim.r.Int64N(int64(defaultTickInterval))), incarnation)
	h.sim.after(joinInterval, func() { h.join(incarnation) })
}

// tickAt delivers periodic ticks, each late by up to 10 ms.
func (h *simHost) tickAt(at time.Duration, incarnation int) {
	jitter := time.Duration(h.sim.r.Int64N(int64(10 * time.Millisecond)))
	h.sim.at(at+jitter, func() {
		if h.incarnation != incarnation || h.node == nil {
			return
		}
		next := at + time.Duration(float64(defaultTickInterval)/h.rate)
		if h.frozenUntil > next {
			// One tick stays buffered during a freeze, the others are lost.
			next = h.frozenUntil
		}
		h.runPass(func(n *Node) { n.tick() })
		h.tickAt(next, incarnation)
	})
}

// join periodically sends a join request to a random host, which redirects it to
// the leader, while this host's replica is not a member.
func (h *simHost) join(incarnation int) {
	if h.incarnation != incarnation || h.node == nil {
		return
	}
	if h.sim.open {
		h.joinOpen(incarnation)
		return
	}
	if voter, learner := h.node.memberState(h.node.id); voter || learner {
		return
	}
	h.sim.after(joinInterval, func() { h.join(incarnation) })
	to := h.sim.hosts[h.sim.r.IntN(len(h.sim.hosts))]
	self := h.node.selfMember()
	if to == h || h.sim.cut[[2]string{h.addr, to.addr}] {
		return
	}
	h.sim.after(time.Millisecond, func() { to.leaderOrSelf().change(joinEdit(self)) })
}

// leaderOrSelf returns the host of the leader that this host knows and reaches, or
// this host.
func (h *simHost) leaderOrSelf() *simHost {
	if h.node == nil {
		return h
	}
	if _, addr := h.node.Leader(); h.sim.host(addr) != nil && !h.sim.cut[[2]string{h.addr, addr}] {
		return h.sim.host(addr)
	}
	return h
}

// joinEdit returns the membership change of a join request.
func joinEdit(self *pb.Member) func(*Node) membershipEdit {
	return func(n *Node) membershipEdit { return admitEdit(self, n.currentStatus().Committed, false) }
}

// change requests one membership change from the host's node.
func (h *simHost) change(edit func(*Node) membershipEdit) {
	h.runPass(func(n *Node) {
		n.handleChange(&membershipChange{edit: edit(n), proposed: make(chan error, 1), committed: make(chan outcome, 1)})
	})
}

// runPass runs one pass of the node's loop with one input.
func (h *simHost) runPass(input func(*Node)) {
	if h.node == nil || h.sim.now < h.frozenUntil {
		return
	}
	h.inPass = true
	defer func() {
		h.inPass = false
		if p := recover(); p == errKilled {
			h.onKill()
		} else if p != nil {
			panic(p)
		}
	}()
	n := h.node
	n.lease.passStart = n.now()
	input(n)
	h.finishPass(n)
	if n.applier.pending != nil {
		incarnation := h.incarnation
		h.sim.after(time.Millisecond, func() {
			if h.incarnation == incarnation {
				h.runPass(func(n *Node) { n.applier.applyPending() })
			}
		})
	}
}

func (h *simHost) finishPass(n *Node) {
	for len(n.applier.results) > 0 {
		n.handleApplyResult(<-n.applier.results)
	}
	if n.ctx.Err() == nil {
		if err := n.process(); err != nil {
			n.fail(err)
		}
	}
	if n.ctx.Err() != nil {
		h.crash(journaltest.KeepAll)
		return
	}
	if h.sim.now >= h.frozenUntil {
		h.sim.checkLeader(h)
	}
	if h.afterPass != nil {
		h.afterPass()
	}
}

// crash stops the node. mode selects the unsynced writes that its directory keeps.
func (h *simHost) crash(mode journaltest.Crash) {
	if h.node == nil {
		return
	}
	h.node.cancel()
	h.node.waiters.failAfter(0)
	h.node.reads.failAll(ErrNotLeader)
	h.node = nil
	h.afterPass = nil
	h.incarnation++
	h.fs.Crash(mode, h.sim.r)
	h.fs.FreeBytes = -1
}

// loseDisk stops the node and empties its directory.
func (h *simHost) loseDisk() {
	h.crash(journaltest.LoseUnsynced)
	h.fs = journaltest.New()
}
