package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// leaveRepeats is how many times a leaving router notifies its peers, since
	// datagrams may be lost; leaveInterval is the time between two notices.
	leaveRepeats  = 2
	leaveInterval = 100 * time.Millisecond
	// readRetryDelay is the wait after a failed read, so that a failing connection does
	// not cause a busy loop.
	readRetryDelay = 50 * time.Millisecond
)

// Members runs the membership of this router. It implements fleet.View.
type Members struct {
	conn    net.PacketConn
	codec   *codec
	budget  *budget.Budget
	log     *log.Logger
	metrics *metrics
	// onInFlight may be nil.
	onInFlight func(router string, f InFlight)
	// onPlacing may be nil.
	onPlacing func(router, addr string, p *pb.Placing)
	// onQuarantine may be nil.
	onQuarantine func(router, addr string, q *pb.Quarantine)

	mu   sync.Mutex
	core *core
	// routers and targets are the views last returned to readers.
	routers *routerView
	targets *targetView

	// wake signals the timer loop that the next due time may have changed.
	wake chan struct{}
	stop chan struct{}
	once sync.Once
	// noticeCopies is the number of other routers that must hold the notice of a leaving
	// target before it is acknowledged.
	noticeCopies int
	done         sync.WaitGroup
}

// Start joins the fleet through the seeds and runs the membership until Close.
func Start(cfg Config) (*Members, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	m := &Members{
		conn:    cfg.Conn,
		codec:   newCodec(cfg.Token),
		budget:  cfg.Budget,
		log:     cfg.Logger,
		metrics: newMetrics(cfg.Scope),

		onInFlight:   cfg.OnInFlight,
		onPlacing:    cfg.OnPlacing,
		onQuarantine: cfg.OnQuarantine,
		wake:         make(chan struct{}, 1),
		stop:         make(chan struct{}),
		noticeCopies: cfg.NoticeCopies,
	}
	m.core = newCore(coreConfig{
		self:          cfg.Self,
		seeds:         cfg.Seeds,
		cachedPeers:   cfg.CachedPeers,
		cachedTargets: cfg.CachedTargets,
		cachedNotices: cfg.CachedNotices,
		intervals:     cfg.Intervals,
		syncDatagrams: cfg.SyncDatagrams,
		rng:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		allow:         cfg.Budget.AllowAt,
		rate:          cfg.Budget.Rate(),
	}, time.Now())
	m.done.Go(m.tickLoop)
	m.done.Go(m.readLoop)
	return m, nil
}

// do runs fn on the core, then sends the packets and logs the events that result.
func (m *Members) do(fn func(c *core, now time.Time)) {
	out, events := m.run(fn)
	for _, p := range out {
		m.write(p)
	}
	for _, e := range events {
		m.logEvent(e)
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run runs fn on the core and returns what results. The lock is released in any case: a
// panic in the handler of a caller's request is recovered by the HTTP server.
func (m *Members) run(fn func(c *core, now time.Time)) (out []packet, events []viewEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(m.core, time.Now())
	out, events = m.core.drainPackets(), m.core.drainEvents()
	for _, h := range m.core.drainFinished() {
		close(h.done)
	}
	m.metrics.update(m.core)
	return out, events
}

// logEvent logs one change of the view. The event that the lease of a target expired is
// logged as a warning; it is recorded only for targets that are not leaving.
func (m *Members) logEvent(e viewEvent) {
	line := m.log.Info()
	if e.text == eventTargetExpired {
		line = m.log.Warn()
	}
	line = line.Str("step", "membership").Str("peer", e.id).Uint64("generation", e.generation)
	if e.age > 0 {
		line = line.Dur("proof_age_ms", e.age)
	}
	line.Msg(e.text)
}

func (m *Members) write(p packet) {
	datagram, err := m.codec.encode(p.msg)
	if err != nil {
		m.log.Error().Err(err).Str("step", "encode datagram").Str("peer", p.to).Msg("a membership message was dropped")
		return
	}
	addr, err := netip.ParseAddrPort(p.to)
	if err != nil {
		m.log.Debug().Err(err).Str("step", "send datagram").Str("peer", p.to).Msg("a router's peer address is not an IP number and port")
		return
	}
	if _, err := m.conn.WriteTo(datagram, net.UDPAddrFromAddrPort(addr)); err != nil && !errors.Is(err, net.ErrClosed) {
		m.log.Debug().Err(err).Str("step", "send datagram").Str("peer", p.to).Msg("a membership message was not sent")
	}
}

func (m *Members) tickLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-m.wake:
		case <-timer.C:
			m.do(func(c *core, now time.Time) { c.tick(now) })
		}
		m.mu.Lock()
		timer.Reset(time.Until(m.core.nextTick()))
		m.mu.Unlock()
	}
}

func (m *Members) readLoop() {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := m.conn.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !m.pause(readRetryDelay) {
				return
			}
			continue
		}
		m.budget.CountReceived(budget.Liveness, n+packetOverheadBytes)
		msg, err := m.codec.decode(buf[:n])
		if err != nil {
			m.metrics.malformed.Inc(1)
			m.log.Debug().Err(err).Str("step", "read datagram").Str("peer", from.String()).Msg("a datagram was dropped")
			continue
		}
		switch msg.Kind {
		case pb.GossipKind_GOSSIP_KIND_IN_FLIGHT:
			m.handleInFlight(msg)
		case pb.GossipKind_GOSSIP_KIND_PLACING:
			m.handlePlacing(msg, from.String())
		case pb.GossipKind_GOSSIP_KIND_QUARANTINE:
			m.handleQuarantine(msg, from.String())
		default:
			m.do(func(c *core, now time.Time) { c.receive(now, from.String(), msg) })
		}
	}
}

// pause waits for d. It returns false if Close is called meanwhile.
func (m *Members) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-m.stop:
		return false
	case <-timer.C:
		return true
	}
}

// Announce records a target's own announcement. The caller must have proof that the
// target made it at provenAt or later, by this process's clock.
func (m *Members) Announce(st *pb.TargetStatus, provenAt time.Time) error {
	var err error
	m.do(func(c *core, now time.Time) {
		past, known := c.history.get(st.Id)
		err = c.announce(now, st, provenAt)
		if st.Leaving && err == nil && !(known && past.left && past.incarnation == st.Incarnation) {
			c.scheduleLeavingUpdate(now, st.Id)
		}
	})
	return err
}

// TargetLeaves marks an incarnation of a target as leaving: it never gets new work
// again. All routers are notified immediately. RecordLeaving does the same without the
// immediate notification.
func (m *Members) TargetLeaves(id string, incarnation uint64) {
	m.do(func(c *core, now time.Time) {
		c.applyStatus(now, &pb.TargetStatus{Id: id, Incarnation: incarnation, Leaving: true})
		c.scheduleLeavingUpdate(now, id)
	})
}

// RecordLeaving marks an incarnation of a target as leaving: it never gets new work
// again. Unlike with TargetLeaves, other routers learn of it by gossip only, since many
// routers may detect it at the same time.
func (m *Members) RecordLeaving(id string, incarnation uint64) {
	m.do(func(c *core, now time.Time) {
		c.applyStatus(now, &pb.TargetStatus{Id: id, Incarnation: incarnation, Leaving: true})
	})
}

// LastIncarnationLeaves marks the last known incarnation of a target as leaving: it
// never gets new work again. All routers are notified immediately. It reports whether
// an incarnation is known; if none is, nothing happens.
func (m *Members) LastIncarnationLeaves(id string) bool {
	known := false
	m.do(func(c *core, now time.Time) {
		past, ok := c.history.get(id)
		if !ok {
			return
		}
		known = true
		c.applyStatus(now, &pb.TargetStatus{Id: id, Incarnation: past.incarnation, Leaving: true})
		c.scheduleLeavingUpdate(now, id)
	})
	return known
}

// TargetLife returns what is known of the incarnation of a target that announced st.
func (m *Members) TargetLife(st *pb.TargetStatus) TargetLife {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.targetLife(time.Now(), st)
}

// Notice returns the notice that the last known incarnation of a target leaves: a status with its
// id and incarnation. It returns nil if that is not known.
func (m *Members) Notice(id string) *pb.TargetStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	past, known := m.core.history.get(id)
	if !known || !past.left {
		return nil
	}
	return &pb.TargetStatus{Id: id, Incarnation: past.incarnation, Leaving: true}
}

// SetState publishes this router's state.
func (m *Members) SetState(state pb.RouterState) {
	m.do(func(c *core, _ time.Time) { c.setState(state) })
}

// SetSeeds replaces the peer addresses through which this router joins the fleet and
// finds routers again that it has lost.
func (m *Members) SetSeeds(seeds []string) {
	m.do(func(c *core, _ time.Time) { c.setSeeds(seeds) })
}

// SetRoutingTable publishes the number of the routing table that is active at this
// router, as a gossip update. A number that is not higher than the published one is
// ignored.
func (m *Members) SetRoutingTable(number uint64) {
	m.do(func(c *core, _ time.Time) {
		if c.self.status.RoutingTable < number {
			c.publishSelf(func(s *pb.RouterStatus) { s.RoutingTable = number })
		}
	})
}

// Leave notifies some peers, which propagate the update, that this router has left. It
// takes leaveRepeats times leaveInterval, unless the context or Close ends it. The view
// stays readable.
func (m *Members) Leave(ctx context.Context) error {
	for range leaveRepeats {
		m.do(func(c *core, now time.Time) { c.leave(now) })
		timer := time.NewTimer(leaveInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return errs.Wrap(ctx.Err(), "leave", "")
		case <-m.stop:
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
	return nil
}

// Close stops the membership and closes the connection. It does not notify the fleet;
// use Leave for that.
func (m *Members) Close() {
	m.once.Do(func() {
		close(m.stop)
		_ = m.conn.Close()
	})
	m.done.Wait()
}

func (m *Members) routerView() *routerView {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routers.valid(m.core) {
		m.routers = m.core.routerView()
	}
	return m.routers
}

func (m *Members) targetView() *targetView {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.targets.valid(m.core, now) {
		m.targets = m.core.targetView(now)
	}
	return m.targets
}

// Self returns this router's own status.
func (m *Members) Self() *pb.RouterStatus { return m.routerView().self }

// Routers returns the routers believed alive, this one included, by id.
func (m *Members) Routers() []*pb.RouterStatus { return m.routerView().routers }

// Targets returns the targets that hold a lease at this router, by id.
func (m *Members) Targets() []*pb.TargetStatus { return m.targetView().targets }

// Target returns the target with this id, or nil if it holds no lease at this router.
func (m *Members) Target(id string) *pb.TargetStatus { return m.targetView().byID[id] }
