package replica

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
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
	// onKill replaces what happens when a hook kills the node.
	onKill func()
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
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

// newWorld starts three founders and one spare site that runs nothing.
func newWorld(seed uint64) *world {
	w := &world{
		r:       rand.New(rand.NewPCG(seed, 0)),
		cut:     make(map[[2]string]bool),
		entries: make(map[uint64]appliedEntry),
		leaders: make(map[uint64]string),
		faults:  make(map[string]int),
		lateBy:  2 * time.Second,
	}
	for i := range simFounders + 1 {
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

// found gives the founders their first entry, as formation does.
func (w *world) found() {
	var members []*pb.Member
	for _, s := range w.sites[:simFounders] {
		n, _ := s.openNode()
		members = append(members, n.self())
	}
	for _, s := range w.sites[:simFounders] {
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
	defer func() {
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

// simOutlet passes messages through the world's network.
type simOutlet struct {
	from *site
	to   string
	life int
}

func (o *simOutlet) close() {}

func (o *simOutlet) enqueue(m *pb.RaftMessage) {
	w := o.from.w
	if w.r.IntN(100) < w.dropPct {
		return
	}
	delay := time.Duration(w.r.Int64N(int64(3 * time.Millisecond)))
	if w.r.IntN(100) < w.latePct {
		delay += time.Duration(w.r.Int64N(int64(w.lateBy)))
	}
	// What a process sends while it freezes leaves once it thaws.
	delay += max(0, o.from.thaw-w.now)
	w.deliver(o.from.addr, o.to, m, delay)
	if w.r.IntN(100) < w.doublePct {
		w.deliver(o.from.addr, o.to, m, delay+time.Duration(w.r.Int64N(int64(time.Second))))
	}
}

func (w *world) deliver(from, to string, m *pb.RaftMessage, delay time.Duration) {
	w.after(delay, func() {
		s := w.site(to)
		if s == nil || w.cut[[2]string{from, to}] {
			return
		}
		if w.now < s.thaw {
			// Kept in the frozen process's socket.
			w.deliver(from, to, m, s.thaw-w.now+time.Millisecond)
			return
		}
		s.pass(func(n *Node) { n.step(&pb.RaftBatch{Messages: []*pb.RaftMessage{m}, FromAddr: from}) })
	})
}

func (w *world) site(addr string) *site {
	i := slices.IndexFunc(w.sites, func(s *site) bool { return s.addr == addr })
	if i < 0 {
		return nil
	}
	return w.sites[i]
}

func (w *world) at(t time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// runFor lets the world go on for d.
func (w *world) runFor(d time.Duration) { w.runUntil(d, func() bool { return false }) }

// runUntil lets the world go on until done or for d; it returns done's last.
func (w *world) runUntil(d time.Duration, done func() bool) bool {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.collect()
		if done() {
			return true
		}
	}
	w.now = end
	return done()
}
