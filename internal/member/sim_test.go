package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	announceEvery   = 500 * time.Millisecond
	defaultMaxDelay = 3 * time.Millisecond
)

// simulation runs cores in memory under virtual time, with a network that delays and
// loses datagrams and can be cut, and with targets that announce themselves.
type simulation struct {
	now    time.Time
	rng    *rand.Rand
	codec  *codec
	nodes  []*node
	byAddr map[string]*node
	// intervals, syncDatagrams and budget apply to nodes that start later.
	intervals     Intervals
	syncDatagrams int
	budget        budget.Config
	// cachedPeers holds, by node index, the peer addresses that a node has cached when
	// it starts.
	cachedPeers map[int][]string
	// cachedTargets holds, by node index, the targets that a node has cached when it
	// starts.
	cachedTargets map[int][]*pb.TargetStatus
	// cachedNotices holds, by node index, the notices that a node has cached when it starts.
	cachedNotices map[int][]*pb.TargetStatus
	// announceEvery is the time between two announcements of a target.
	announceEvery time.Duration
	targets       []*simTarget
	events        events
	seq           int
	// cutLinks marks pairs of nodes between which datagrams and calls from the first to
	// the second are lost.
	cutLinks map[[2]int]bool
	lossRate float64
	// maxDelay bounds the network delay of a datagram.
	maxDelay time.Duration
	messages int
	// messageCost is the time that a node is busy per received or sent message; nil
	// means none. Messages that arrive while a node is busy wait.
	messageCost func(n *node) time.Duration
	// unlimitedUntil is when the budgets take effect. Until then views can build up
	// quickly.
	unlimitedUntil time.Time
	// onTransmit is called for each datagram.
	onTransmit func(from *node, p packet)
	// onStep is called after each event that may have changed a node.
	onStep func(n *node)
}

type node struct {
	index   int
	status  *pb.RouterStatus
	core    *core
	budget  *budget.Budget
	running bool
	paused  bool
	// cutOff is set while the node reaches no other node and is reached by no target.
	cutOff bool
	inbox  []func()
	// busyUntil is when the node has processed its messages.
	busyUntil time.Time
}

type simTarget struct {
	status  *pb.TargetStatus
	running bool
	// router is the index of the node that the target announces itself to.
	router int
	// ackedAt is when that node last replied, zero if it has not; ackedIncarnation is
	// the incarnation of the node that replied.
	ackedAt          time.Time
	ackedIncarnation uint64
	// silentUntil ends a period without announcements; reachable is the range of
	// indexes of the nodes that the target reaches.
	silentUntil time.Time
	reachable   [2]int
	// leftAt is when the target began to leave or ended; zero while it serves.
	leftAt time.Time
	// ended holds when each incarnation left or ended.
	ended map[uint64]time.Time
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(warmUp time.Duration, seed uint64, routers, targets, dataCentres int) *simulation {
	w := &simulation{
		now:      time.Unix(1_000_000, 0),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		codec:    newCodec("secret"),
		cutLinks: make(map[[2]int]bool),

		byAddr: make(map[string]*node),
	}
	w.maxDelay = defaultMaxDelay
	w.unlimitedUntil = w.now.Add(warmUp)
	w.announceEvery = announceEvery
	w.populate(routers, targets, dataCentres)
	return w
}

// populate starts routers and targets.
func (w *simulation) populate(routers, targets, dataCentres int) {
	for i := range routers {
		n := &node{index: i, status: &pb.RouterStatus{
			Id:          fmt.Sprintf("router-%d", i),
			Incarnation: 1_700_000_000_000,
			DataCentre:  fmt.Sprintf("dc-%d", i%dataCentres),
			PeerAddr:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			CallerAddr:  fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			AdminAddr:   fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			TargetAddr:  fmt.Sprintf("10.0.%d.%d:8100", i/250, i%250),
			State:       pb.RouterState_ROUTER_STATE_SERVING,
		}}
		w.nodes = append(w.nodes, n)
		w.byAddr[n.status.PeerAddr] = n
		w.start(n)
	}
	for i := range targets {
		w.addTarget(i, dataCentres)
	}
}

func (w *simulation) addTarget(i, dataCentres int) *simTarget {
	t := &simTarget{running: true, ended: make(map[uint64]time.Time), reachable: [2]int{0, len(w.nodes)}, router: w.rng.IntN(len(w.nodes)), status: &pb.TargetStatus{
		Id:          fmt.Sprintf("engine-%d", i),
		Kind:        pb.TargetKind_TARGET_KIND_ENGINE,
		Addr:        fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
		Incarnation: 1_700_000_000_000,
		DataCentre:  fmt.Sprintf("dc-%d", i%dataCentres),
		Models:      []string{"small-model", "large-model"},
		Capacity:    32,
	}}
	w.targets = append(w.targets, t)
	w.after(time.Duration(w.rng.Int64N(int64(w.announceEvery))), func() { w.announceLoop(t) })
	return t
}

func (w *simulation) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, &event{at: w.now.Add(d), seq: w.seq, fn: fn})
}

// start starts a node with a new core and a higher incarnation. The first three nodes
// are the seeds.
func (w *simulation) start(n *node) {
	n.status.Incarnation++
	n.running, n.paused, n.inbox = true, false, nil
	n.budget = budget.New(w.budget)
	var seeds []string
	for _, s := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, s.status.PeerAddr)
	}
	n.core = newCore(coreConfig{
		self:          n.status,
		seeds:         seeds,
		cachedPeers:   w.cachedPeers[n.index],
		cachedTargets: w.cachedTargets[n.index],
		cachedNotices: w.cachedNotices[n.index],
		intervals:     w.intervals,
		syncDatagrams: w.syncDatagrams,
		rng:           rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())),
		rate:          n.budget.Rate(),
		allow: func(now time.Time, class budget.Class, bytes int) bool {
			return w.now.Before(w.unlimitedUntil) || n.budget.AllowAt(now, class, bytes)
		},
	}, w.now)
	started := n.core
	w.after(time.Duration(w.rng.Int64N(int64(DefaultProbeInterval))), func() { w.tickLoop(n, started) })
}

func (w *simulation) tickLoop(n *node, started *core) {
	if !n.running || n.core != started {
		return
	}
	if wait := n.busyUntil.Sub(w.now); wait > 0 {
		w.after(wait, func() { w.tickLoop(n, started) })
		return
	}
	if !n.paused {
		started.tick(w.now)
		w.flush(n)
	}
	// Timers fire late.
	late := time.Duration(w.rng.Int64N(int64(2 * time.Millisecond)))
	w.after(max(0, started.nextTick().Sub(w.now))+late, func() { w.tickLoop(n, started) })
}

// deliver runs fn at the node once the node is neither paused nor busy, unless it has
// stopped or restarted by then.
func (w *simulation) deliver(n *node, started *core, fn func()) {
	if !n.running || n.core != started {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, fn)
		return
	}
	if wait := n.busyUntil.Sub(w.now); wait > 0 {
		w.after(wait, func() { w.deliver(n, started, fn) })
		return
	}
	w.spendTime(n, 1)
	fn()
	w.flush(n)
}

// spendTime keeps a node busy for a number of messages.
func (w *simulation) spendTime(n *node, messages int) {
	if w.messageCost != nil {
		n.busyUntil = maxTime(n.busyUntil, w.now).Add(time.Duration(messages) * w.messageCost(n))
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *simulation) resume(n *node) {
	n.paused = false
	waiting := n.inbox
	n.inbox = nil
	for _, fn := range waiting {
		w.deliver(n, n.core, fn)
	}
}

func (w *simulation) flush(n *node) {
	packets := n.core.drainPackets()
	w.spendTime(n, len(packets))
	for _, p := range packets {
		w.transmit(n, p)
	}
	n.core.drainEvents()
	if w.onStep != nil {
		w.onStep(n)
	}
}

func (w *simulation) transmit(from *node, p packet) {
	datagram, err := w.codec.encode(p.msg)
	if err != nil {
		panic(err)
	}
	w.messages++
	if w.onTransmit != nil {
		w.onTransmit(from, p)
	}
	to := w.byAddr[p.to]
	if to == nil || w.linkCut(from.index, to.index) || w.rng.Float64() < w.lossRate {
		return
	}
	started := to.core
	delay := 200*time.Microsecond + time.Duration(w.rng.Int64N(int64(w.maxDelay)))
	w.after(delay, func() {
		w.deliver(to, started, func() { w.receive(to, from, datagram) })
	})
}

func (w *simulation) receive(to, from *node, datagram []byte) {
	msg, err := w.codec.decode(datagram)
	if err != nil {
		panic(err)
	}
	to.budget.CountReceived(budget.Liveness, len(datagram)+packetOverheadBytes)
	to.core.receive(w.now, from.status.PeerAddr, msg)
}

func (w *simulation) linkCut(from, to int) bool {
	return w.cutLinks[[2]int{from, to}] || w.nodes[from].cutOff || w.nodes[to].cutOff
}

// announceLoop runs the announcements of a target's current incarnation: to one router,
// and after a failure to another.
func (w *simulation) announceLoop(t *simTarget) {
	w.announceIncarnation(t, t.status.Incarnation)
}

func (w *simulation) announceIncarnation(t *simTarget, incarnation uint64) {
	if !t.running || t.status.Incarnation != incarnation {
		return
	}
	wait := w.announceEvery
	if w.now.Before(t.silentUntil) {
		w.after(wait, func() { w.announceIncarnation(t, incarnation) })
		return
	}
	unknown := t.ackedAt.IsZero()
	if !w.announceOnce(t) {
		wait = 100 * time.Millisecond
	} else if unknown {
		wait = 10 * time.Millisecond
	}
	w.after(wait, func() { w.announceIncarnation(t, incarnation) })
}

// announceOnce announces the target once and reports whether the router replied. An
// announcement to a paused router waits in its inbox until the router resumes.
func (w *simulation) announceOnce(t *simTarget) bool {
	n := w.nodes[t.router]
	t.status.Sequence++
	st := shallowCopy(t.status)
	st.Load = &pb.Load{Running: uint32(w.rng.IntN(32)), Waiting: uint32(w.rng.IntN(8)), CachePermille: uint32(w.rng.IntN(1000)), AgeMs: 20}
	if t.ackedIncarnation != n.status.Incarnation {
		t.ackedAt, t.ackedIncarnation = time.Time{}, n.status.Incarnation
	}
	var err error
	provenAt := t.ackedAt
	if n.running && !n.cutOff {
		w.deliver(n, n.core, func() { err = n.core.announce(w.now, st, provenAt) })
	}
	if !n.running || n.paused || n.cutOff || err != nil {
		t.router, t.ackedAt = t.reachable[0]+w.rng.IntN(t.reachable[1]-t.reachable[0]), time.Time{}
		return false
	}
	t.ackedAt = w.now
	return true
}

// leave marks the target as leaving and announces this. The target continues to
// announce itself.
func (w *simulation) leave(t *simTarget) {
	if !t.running || !t.leftAt.IsZero() {
		return
	}
	t.status = shallowCopy(t.status)
	t.status.Leaving = true
	t.markEnded(w.now)
	w.announceOnce(t)
}

func (t *simTarget) markEnded(now time.Time) {
	if t.leftAt.IsZero() {
		t.leftAt = now
		t.ended[t.status.Incarnation] = now
	}
}

// end stops the target without an announcement that it leaves.
func (w *simulation) end(t *simTarget) {
	t.running = false
	t.markEnded(w.now)
}

// restart begins a new incarnation of a target that has ended.
func (w *simulation) restart(t *simTarget) {
	t.status = shallowCopy(t.status)
	t.status.Incarnation++
	t.status.Sequence, t.status.Leaving = 0, false
	t.running, t.ackedAt, t.leftAt = true, time.Time{}, time.Time{}
	w.announceLoop(t)
}

func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}
