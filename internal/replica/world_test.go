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

// world runs nodes without goroutines on a virtual clock, over a network and
// folders in memory. The same seed gives the same history.
type world struct {
	r     *rand.Rand
	now   time.Duration
	seq   int
	queue eventQueue
	sites []*site

	// cut holds one-way cuts from address to address.
	cut map[[2]string]bool
	// slow holds the added delay from address to address.
	slow map[[2]string]time.Duration
	// Chances, in per cent, that a message is dropped, late or doubled.
	dropPct, latePct, doublePct int
	// lateBy bounds how late a late message is.
	lateBy time.Duration

	// entries holds what was applied first at each index.
	entries map[uint64]appliedEntry
	leaders map[uint64]string
	// promise is the latest end of a period in which a leader may act.
	promise     time.Duration
	promiseTerm uint64

	sent    int
	open    []*pendingCall
	acked   []string
	ackedAt uint64
	faults  map[string]int
}

type appliedEntry struct {
	term uint64
	data string
}

// pendingCall is a proposal or a read that waits for its answer.
type pendingCall struct {
	data  string
	done  chan outcome
	read  chan readOutcome
	floor uint64
}

// site is one address with its folder; it runs at most one node at a time.
type site struct {
	w       *world
	addr    string
	fs      *journaltest.FS
	node    *Node
	machine *hookMachine
	life    int
	thaw    time.Duration
	// rate is how fast its clock runs; epoch where it started.
	rate  float64
	epoch time.Time
	// afterPass is called after each pass of the node.
	afterPass func()
	// passing tells that the node is in the midst of a pass.
	passing bool
	// onKill replaces what happens when a hook kills the node.
	onKill func()
}

// hookMachine tells a hook of each call.
type hookMachine struct {
	listMachine
	w    *world
	hook func(step string)
}

func (m *hookMachine) call(step string) {
	if m.hook != nil {
		m.hook(step)
	}
}

func (m *hookMachine) Apply(e Entry) []byte {
	m.call("apply")
	m.w.checkApplied(e)
	return m.listMachine.Apply(e)
}

func (m *hookMachine) Snapshot(w io.Writer) error {
	m.call("snapshot")
	return m.listMachine.Snapshot(w)
}

func (m *hookMachine) Restore(r io.Reader) error {
	m.call("restore")
	return m.listMachine.Restore(r)
}

// violation is the panic value of a property that failed in the world.
func violation(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// errKilled is the panic value that ends a node at a hook.
var errKilled = errors.New("killed")

const simFounders = 3

// maxLate bounds how late a message is by default.
const maxLate = 2 * time.Second

// newWorld starts three founders and one spare site that runs nothing.
func newWorld(seed uint64) *world { return newWorldOf(simFounders, seed) }

func newWorldOf(founders int, seed uint64) *world {
	w := &world{
		r:       rand.New(rand.NewPCG(seed, 0)),
		cut:     make(map[[2]string]bool),
		slow:    make(map[[2]string]time.Duration),
		entries: make(map[uint64]appliedEntry),
		leaders: make(map[uint64]string),
		faults:  make(map[string]int),
		lateBy:  maxLate,
	}
	for i := range founders + 1 {
		w.sites = append(w.sites, &site{
			w: w, addr: fmt.Sprintf("10.0.0.%d:1", i+1), fs: journaltest.New(),
			// Any two clocks stay within the drift bound.
			rate:  1 + clockDriftBound*(w.r.Float64()-0.5)*0.98,
			epoch: time.Unix(1_700_000_000+int64(i)*1000, 0),
		})
	}
	w.found()
	return w
}

func (w *world) founders() []*site { return w.sites[:len(w.sites)-1] }

func (w *world) spare() *site { return w.sites[len(w.sites)-1] }

// found gives the founders their first entry, as formation does.
func (w *world) found() {
	var members []*pb.Member
	for _, s := range w.founders() {
		n, _ := s.openNode()
		members = append(members, n.self())
	}
	for _, s := range w.founders() {
		state, err := s.node.found(&journal.State{}, consensus.NewMembership(members...))
		if err != nil {
			violation("formation: %v", err)
		}
		s.run(state)
	}
}

// random yields identities that depend on the seed alone.
type random struct{ r *rand.Rand }

func (r random) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.r.Uint32())
	}
	return len(p), nil
}

func (s *site) openNode() (*Node, *journal.State) {
	j, state, err := journal.Open(s.fs, random{s.w.r})
	if err != nil {
		violation("open journal at %s: %v", s.addr, err)
	}
	j.SegmentBytes = 2000
	s.machine = &hookMachine{w: s.w}
	cfg := Config{
		Addr: s.addr, Machine: s.machine, TickInterval: defaultTickInterval, SnapshotEntries: 40,
		SnapshotBytes: 1 << 20, MaxBatch: 64, Trailing: 10,
		Logger: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	}
	cfg.setOptional()
	n := newNode(context.Background(), cfg, j, state)
	n.now = s.clock
	n.seed = s.w.r.Uint64()
	n.peers.open = func(id, addr string) outlet { return &simOutlet{s, addr, s.life} }
	s.node = n
	if err := n.restore(state); err != nil {
		violation("restore at %s: %v", s.addr, err)
	}
	return n, state
}

func (s *site) clock() time.Time { return s.epoch.Add(time.Duration(float64(s.w.now) * s.rate)) }

// global converts a reading of the site's clock to the world's time.
func (s *site) global(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(s.epoch)) / s.rate)
}

// start runs the node that the folder holds; an emptied one asks to join.
func (s *site) start() {
	if s.node != nil {
		return
	}
	_, state := s.openNode()
	s.run(state)
}

func (s *site) run(state *journal.State) {
	s.life++
	s.thaw = 0
	s.node.startCore(state)
	life := s.life
	s.tickAt(s.w.now+time.Duration(s.w.r.Int64N(int64(defaultTickInterval))), life)
	s.w.after(joinInterval, func() { s.join(life) })
}

// tickAt delivers ticks on a grid, each a little late.
func (s *site) tickAt(at time.Duration, life int) {
	jitter := time.Duration(s.w.r.Int64N(int64(10 * time.Millisecond)))
	s.w.at(at+jitter, func() {
		if s.life != life || s.node == nil {
			return
		}
		next := at + time.Duration(float64(defaultTickInterval)/s.rate)
		if s.thaw > next {
			// One tick waits through a freeze, the others are lost.
			next = s.thaw
		}
		s.pass(func(n *Node) { n.tick() })
		s.tickAt(next, life)
	})
}

// join asks a random site to admit this one while it is outside; that site
// names the leader.
func (s *site) join(life int) {
	if s.life != life || s.node == nil {
		return
	}
	if voter, learner := s.node.memberState(s.node.id); voter || learner {
		return
	}
	s.w.after(joinInterval, func() { s.join(life) })
	to := s.w.sites[s.w.r.IntN(len(s.w.sites))]
	self := s.node.self()
	if to == s || s.w.cut[[2]string{s.addr, to.addr}] {
		return
	}
	s.w.after(time.Millisecond, func() { to.leaderOr().change(admissionAt(self)) })
}

// leaderOr returns the site of the leader that this site knows, else itself.
func (s *site) leaderOr() *site {
	if s.node == nil {
		return s
	}
	if _, addr := s.node.Leader(); s.w.site(addr) != nil && !s.w.cut[[2]string{s.addr, addr}] {
		return s.w.site(addr)
	}
	return s
}

func admissionAt(self *pb.Member) func(*Node) membershipEdit {
	return func(n *Node) membershipEdit { return admission(self, n.snapshotStatus().Committed, false) }
}

// change asks the site's node for one membership change.
func (s *site) change(edit func(*Node) membershipEdit) {
	s.pass(func(n *Node) {
		n.takeChange(&membershipChange{edit: edit(n), done: make(chan error, 1), wait: make(chan outcome, 1)})
	})
}

// pass gives the node one input and lets it carry out what follows.
func (s *site) pass(input func(*Node)) {
	if s.node == nil || s.w.now < s.thaw {
		return
	}
	s.passing = true
	defer func() {
		s.passing = false
		if p := recover(); p == errKilled {
			s.onKill()
		} else if p != nil {
			panic(p)
		}
	}()
	n := s.node
	n.lease.woke = n.now()
	input(n)
	s.finishPass(n)
	if n.applier.pending != nil {
		life := s.life
		s.w.after(time.Millisecond, func() {
			if s.life == life {
				s.pass(func(n *Node) { n.applier.applyPending() })
			}
		})
	}
}

func (s *site) finishPass(n *Node) {
	for len(n.applier.results) > 0 {
		n.takeResult(<-n.applier.results)
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
	if s.w.now >= s.thaw {
		s.w.observe(s)
	}
	if s.afterPass != nil {
		s.afterPass()
	}
}

// crash ends the node; its folder keeps what mode says.
func (s *site) crash(mode journaltest.Crash) {
	if s.node == nil {
		return
	}
	s.node.cancel()
	s.node.waiters.failAfter(0)
	s.node.reads.failAll(ErrNotLeader)
	s.node = nil
	s.afterPass = nil
	s.life++
	s.fs.Crash(mode, s.w.r)
	s.fs.FreeBytes = -1
}

// loseDisk ends the node and empties its folder.
func (s *site) loseDisk() {
	s.crash(journaltest.LoseUnsynced)
	s.fs = journaltest.New()
}
