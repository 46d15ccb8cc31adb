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

// simulation runs nodes without goroutines on a virtual clock, over a network and
// folders in memory. The same seed gives the same history.
type simulation struct {
	r     *rand.Rand
	now   time.Duration
	seq   int
	queue eventQueue
	hosts []*simHost

	// cut holds one-way cuts from address to address.
	cut map[[2]string]bool
	// slow holds the added delay from address to address.
	slow map[[2]string]time.Duration
	// Chances, in per cent, that a message is dropped, late or doubled.
	dropPct, delayPct, duplicatePct int
	// maxDelay bounds how late a late message is.
	maxDelay time.Duration

	// entries holds what was applied first at each index.
	entries map[uint64]appliedEntry
	leaders map[uint64]string
	// leaseEnd is the latest end of a period in which a leader may act.
	leaseEnd  time.Duration
	leaseTerm uint64

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

// pendingCall is a proposal or a read that waits for its answer.
type pendingCall struct {
	data     string
	done     chan outcome
	read     chan readOutcome
	minIndex uint64
}

// simHost is one address with its folder; it runs at most one node at a time.
type simHost struct {
	sim         *simulation
	addr        string
	fs          *journaltest.FS
	node        *Node
	machine     *hookMachine
	incarnation int
	frozenUntil time.Duration
	// rate is how fast its clock runs; epoch where it started.
	rate  float64
	epoch time.Time
	// afterPass is called after each pass of the node.
	afterPass func()
	// inPass tells that the node is in the midst of a pass.
	inPass bool
	// onKill replaces what happens when a hook kills the node.
	onKill func()
}

// hookMachine tells a hook of each call.
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

// failf is the panic value of a property that failed in the world.
func failf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// errKilled is the panic value that ends a node at a hook.
var errKilled = errors.New("killed")

const simFounders = 3

// defaultMaxDelay bounds how late a message is by default.
const defaultMaxDelay = 2 * time.Second

// newSimulation starts three founders and one spare site that runs nothing.
func newSimulation(seed uint64) *simulation { return newSimulationOf(simFounders, seed) }

func newSimulationOf(founders int, seed uint64) *simulation {
	w := &simulation{
		r:           rand.New(rand.NewPCG(seed, 0)),
		cut:         make(map[[2]string]bool),
		slow:        make(map[[2]string]time.Duration),
		entries:     make(map[uint64]appliedEntry),
		leaders:     make(map[uint64]string),
		faultCounts: make(map[string]int),
		maxDelay:    defaultMaxDelay,
	}
	for i := range founders + 1 {
		w.hosts = append(w.hosts, &simHost{
			sim: w, addr: fmt.Sprintf("10.0.0.%d:1", i+1), fs: journaltest.New(),
			// Any two clocks stay within the drift bound.
			rate:  1 + clockDriftBound*(w.r.Float64()-0.5)*0.98,
			epoch: time.Unix(1_700_000_000+int64(i)*1000, 0),
		})
	}
	w.writeFirstEntries()
	return w
}

func (w *simulation) founders() []*simHost { return w.hosts[:len(w.hosts)-1] }

func (w *simulation) spare() *simHost { return w.hosts[len(w.hosts)-1] }

// writeFirstEntries gives the founders their first entry, as formation does.
func (w *simulation) writeFirstEntries() {
	var members []*pb.Member
	for _, s := range w.founders() {
		n, _ := s.openNode()
		members = append(members, n.selfMember())
	}
	for _, s := range w.founders() {
		state, err := s.node.writeFirstEntry(&journal.State{}, consensus.NewMembership(members...))
		if err != nil {
			failf("formation: %v", err)
		}
		s.run(state)
	}
}

// seededReader yields identities that depend on the seed alone.
type seededReader struct{ r *rand.Rand }

func (r seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.r.Uint32())
	}
	return len(p), nil
}

func (s *simHost) openNode() (*Node, *journal.State) {
	j, state, err := journal.Open(s.fs, seededReader{s.sim.r})
	if err != nil {
		failf("open journal at %s: %v", s.addr, err)
	}
	j.SegmentBytes = 2000
	s.machine = &hookMachine{sim: s.sim}
	cfg := Config{
		Addr: s.addr, Machine: s.machine, TickInterval: defaultTickInterval, SnapshotEntries: 40,
		SnapshotBytes: 1 << 20, MaxBatch: 64, TrailingEntries: 10,
		Logger: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	}
	cfg.setOptional()
	n := newNode(context.Background(), cfg, j, state)
	n.now = s.clock
	n.electionSeed = s.sim.r.Uint64()
	n.peers.openSender = func(id, addr string) messageSender { return &simSender{s, addr, s.incarnation} }
	s.node = n
	if err := n.restore(state); err != nil {
		failf("restore at %s: %v", s.addr, err)
	}
	return n, state
}

func (s *simHost) clock() time.Time { return s.epoch.Add(time.Duration(float64(s.sim.now) * s.rate)) }

// simTime converts a reading of the site's clock to the world's time.
func (s *simHost) simTime(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(s.epoch)) / s.rate)
}

// start runs the node that the folder holds; an emptied one asks to join.
func (s *simHost) start() {
	if s.node != nil {
		return
	}
	_, state := s.openNode()
	s.run(state)
}

func (s *simHost) run(state *journal.State) {
	s.incarnation++
	s.frozenUntil = 0
	s.node.startCore(state)
	life := s.incarnation
	s.tickAt(s.sim.now+time.Duration(s.sim.r.Int64N(int64(defaultTickInterval))), life)
	s.sim.after(joinInterval, func() { s.join(life) })
}

// tickAt delivers ticks on a grid, each a little late.
func (s *simHost) tickAt(at time.Duration, life int) {
	jitter := time.Duration(s.sim.r.Int64N(int64(10 * time.Millisecond)))
	s.sim.at(at+jitter, func() {
		if s.incarnation != life || s.node == nil {
			return
		}
		next := at + time.Duration(float64(defaultTickInterval)/s.rate)
		if s.frozenUntil > next {
			// One tick waits through a freeze, the others are lost.
			next = s.frozenUntil
		}
		s.runPass(func(n *Node) { n.tick() })
		s.tickAt(next, life)
	})
}

// join asks a random site to admit this one while it is outside; that site
// names the leader.
func (s *simHost) join(life int) {
	if s.incarnation != life || s.node == nil {
		return
	}
	if voter, learner := s.node.memberState(s.node.id); voter || learner {
		return
	}
	s.sim.after(joinInterval, func() { s.join(life) })
	to := s.sim.hosts[s.sim.r.IntN(len(s.sim.hosts))]
	self := s.node.selfMember()
	if to == s || s.sim.cut[[2]string{s.addr, to.addr}] {
		return
	}
	s.sim.after(time.Millisecond, func() { to.leaderOrSelf().change(joinEdit(self)) })
}

// leaderOrSelf returns the site of the leader that this site knows, else itself.
func (s *simHost) leaderOrSelf() *simHost {
	if s.node == nil {
		return s
	}
	if _, addr := s.node.Leader(); s.sim.host(addr) != nil && !s.sim.cut[[2]string{s.addr, addr}] {
		return s.sim.host(addr)
	}
	return s
}

func joinEdit(self *pb.Member) func(*Node) membershipEdit {
	return func(n *Node) membershipEdit { return admitEdit(self, n.currentStatus().Committed, false) }
}

// change asks the site's node for one membership change.
func (s *simHost) change(edit func(*Node) membershipEdit) {
	s.runPass(func(n *Node) {
		n.handleChange(&membershipChange{edit: edit(n), proposed: make(chan error, 1), committed: make(chan outcome, 1)})
	})
}

// runPass gives the node one input and lets it carry out what follows.
func (s *simHost) runPass(input func(*Node)) {
	if s.node == nil || s.sim.now < s.frozenUntil {
		return
	}
	s.inPass = true
	defer func() {
		s.inPass = false
		if p := recover(); p == errKilled {
			s.onKill()
		} else if p != nil {
			panic(p)
		}
	}()
	n := s.node
	n.lease.passStart = n.now()
	input(n)
	s.finishPass(n)
	if n.applier.pending != nil {
		life := s.incarnation
		s.sim.after(time.Millisecond, func() {
			if s.incarnation == life {
				s.runPass(func(n *Node) { n.applier.applyPending() })
			}
		})
	}
}

func (s *simHost) finishPass(n *Node) {
	for len(n.applier.results) > 0 {
		n.handleApplyResult(<-n.applier.results)
	}
	if n.ctx.Err() == nil {
		if err := n.process(); err != nil {
			n.fail(err)
		}
	}
	if n.ctx.Err() != nil {
		s.crash(journaltest.KeepAll)
		return
	}
	if s.sim.now >= s.frozenUntil {
		s.sim.checkLeader(s)
	}
	if s.afterPass != nil {
		s.afterPass()
	}
}

// crash ends the node; its folder keeps what mode says.
func (s *simHost) crash(mode journaltest.Crash) {
	if s.node == nil {
		return
	}
	s.node.cancel()
	s.node.waiters.failAfter(0)
	s.node.reads.failAll(ErrNotLeader)
	s.node = nil
	s.afterPass = nil
	s.incarnation++
	s.fs.Crash(mode, s.sim.r)
	s.fs.FreeBytes = -1
}

// loseDisk ends the node and empties its folder.
func (s *simHost) loseDisk() {
	s.crash(journaltest.LoseUnsynced)
	s.fs = journaltest.New()
}
