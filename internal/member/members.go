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
	// leaveRepeats and leaveInterval say how a leaving router tells its peers,
	// since datagrams may be lost.
	leaveRepeats  = 2
	leaveInterval = 100 * time.Millisecond
	// readRetryDelay follows a failed read, so that a failing connection is
	// not read in a busy loop.
	readRetryDelay = 50 * time.Millisecond
)

// Members is this router's part in the membership. It implements fleet.View.
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

	mu   sync.Mutex
	core *core
	// routers and targets are what readers were given last.
	routers *routerView
	targets *targetView

	// wake tells the timer loop that the next due time may have changed.
	wake chan struct{}
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup
}

// Start joins the fleet through the seeds and takes part until Close.
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

		onInFlight: cfg.OnInFlight,
		onPlacing:  cfg.OnPlacing,
		wake:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
	}
	m.core = newCore(coreConfig{
		self:          cfg.Self,
		seeds:         cfg.Seeds,
		remembered:    cfg.Remembered,
		targets:       cfg.RememberedTargets,
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

// do runs fn on the core and sends what it put out.
func (m *Members) do(fn func(c *core, now time.Time)) {
	m.mu.Lock()
	fn(m.core, time.Now())
	out := m.core.packets()
	events := m.core.takeEvents()
	m.metrics.update(m.core)
	m.mu.Unlock()
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

// logEvent writes one change of the view; a target that is lost from it without
// having left is a warning.
func (m *Members) logEvent(e viewEvent) {
	line := m.log.Info()
	if e.what == eventTargetLapsed {
		line = m.log.Warn()
	}
	line = line.Str("step", "membership").Str("peer", e.id).Uint64("generation", e.generation)
	if e.age > 0 {
		line = line.Dur("proof_age_ms", e.age)
	}
	line.Msg(e.what)
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
		timer.Reset(time.Until(m.core.next()))
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
			m.takeInFlight(msg)
		case pb.GossipKind_GOSSIP_KIND_PLACING:
			m.takePlacing(msg, from.String())
		default:
			m.do(func(c *core, now time.Time) { c.receive(now, from.String(), msg) })
		}
	}
}

// pause waits; it returns false if Close came meanwhile.
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

// Announce takes a target's own announcement. It is proven that the target
// made it at provenAt or later, on this process's clock.
func (m *Members) Announce(st *pb.TargetStatus, provenAt time.Time) error {
	var err error
	m.do(func(c *core, now time.Time) {
		past, known := c.history.get(st.Id)
		err = c.announce(now, st, provenAt)
		if st.Leaving && err == nil && !(known && past.left && past.incarnation == st.Incarnation) {
			c.tellLeaving(now, st.Id)
		}
	})
	return err
}

// TargetLeaves ends an incarnation of a target for new work, for good.
func (m *Members) TargetLeaves(id string, incarnation uint64) {
	m.do(func(c *core, now time.Time) {
		c.describe(now, &pb.TargetStatus{Id: id, Incarnation: incarnation, Leaving: true})
		c.tellLeaving(now, id)
	})
}

// NoteLeaving ends an incarnation of a target for new work, for good. Others hear of it
// as news: many routers may find out at the same time.
func (m *Members) NoteLeaving(id string, incarnation uint64) {
	m.do(func(c *core, now time.Time) {
		c.describe(now, &pb.TargetStatus{Id: id, Incarnation: incarnation, Leaving: true})
	})
}

// TargetGone ends the known incarnation of a target for new work, for good. It
// returns false if none is known.
func (m *Members) TargetGone(id string) bool {
	known := false
	m.do(func(c *core, now time.Time) {
		past, ok := c.history.get(id)
		if !ok {
			return
		}
		known = true
		c.describe(now, &pb.TargetStatus{Id: id, Incarnation: past.incarnation, Leaving: true})
		c.tellLeaving(now, id)
	})
	return known
}

// SetState publishes this router's state.
func (m *Members) SetState(state pb.RouterState) {
	m.do(func(c *core, _ time.Time) { c.setState(state) })
}

// SetSeeds replaces the peer addresses to find lost instances by.
func (m *Members) SetSeeds(seeds []string) {
	m.do(func(c *core, _ time.Time) { c.setSeeds(seeds) })
}

// SetRoutingTable publishes the number of the routing table in force here.
func (m *Members) SetRoutingTable(number uint64) {
	m.do(func(c *core, _ time.Time) {
		if c.self.status.RoutingTable < number {
			c.publishSelf(func(s *pb.RouterStatus) { s.RoutingTable = number })
		}
	})
}

// Leave tells the fleet that this router is gone. The view stays readable.
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

// Close ends all work and closes the connection. It doesn't say goodbye.
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

// Targets returns the targets whose lease at this router holds, by id.
func (m *Members) Targets() []*pb.TargetStatus { return m.targetView().targets }

// Target returns one target, or nil if its lease at this router ended.
func (m *Members) Target(id string) *pb.TargetStatus { return m.targetView().byID[id] }
