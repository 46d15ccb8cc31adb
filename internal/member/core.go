package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// core is the membership state machine of one router. Time and messages are
// passed in, packets are taken out; it holds no clock and does no I/O.
type core struct {
	iv    Intervals
	seeds []string
	// remembered are peer addresses from before this start, until they are told of it.
	remembered []string
	// greeted counts those that were told.
	greeted int
	rng     *rand.Rand
	// allow spends budget for one packet, or refuses it.
	allow func(now time.Time, class budget.Class, bytes int) bool

	pace pace

	// syncDatagrams bounds the answer to one sync.
	syncDatagrams int

	self    *routerEntry
	routers map[string]*routerEntry
	targets map[string]*targetEntry
	byKey   map[uint64]*targetEntry
	history *history
	news    *queue

	probes map[uint32]*probe
	// questions holds when each sync that awaits its replies was sent.
	questions map[uint32]time.Time
	order     []string
	nonce     uint32
	rounds    int

	lastTick   time.Time
	nextProbe  time.Time
	nextSync   time.Time
	nextJoin   time.Time
	nextGC     time.Time
	left       bool
	leaving    leavingNews
	syncWanted bool
	// differedAt is when an answer last showed a view that differs from this one.
	differedAt time.Time

	// joins spaces whole answers; toldWhole tells that this router had one, nextNamed is
	// when it may ask one that was named again.
	joins     joins
	toldWhole bool
	nextNamed time.Time

	// presence holds the present targets.
	presence presentTargets
	// lapseDue is when the first lease on a target ends unless it is renewed, or
	// earlier.
	lapseDue time.Time

	// routerChanges and targetChanges count the changes of routers and of targets that
	// a reader of the view can see.
	routerChanges uint64
	targetChanges uint64
	out           []packet
	events        []viewEvent
	counts        counts
}

// packet is one datagram to send.
type packet struct {
	to  string
	msg *pb.Gossip
}

// counts are what the core counts for the metrics.
type counts struct {
	suspicions  int64
	deaths      int64
	refutations int64
	syncs       int64
	refused     int64
}

type coreConfig struct {
	self       *pb.RouterStatus
	seeds      []string
	remembered []string
	intervals  Intervals
	// targets are those known before this start.
	targets []*pb.TargetStatus
	// syncDatagrams bounds the answer to one sync; zero means the default.
	syncDatagrams int
	rng           *rand.Rand
	allow         func(now time.Time, class budget.Class, bytes int) bool
	// rate is the budget in bytes a second.
	rate int
}

func newCore(cfg coreConfig, now time.Time) *core {
	self := proto.CloneOf(cfg.self)
	self.Version = max(1, self.Version)
	c := &core{
		iv:            cfg.intervals.withDefaults(),
		syncDatagrams: cmp.Or(cfg.syncDatagrams, DefaultSyncDatagrams),
		rng:           cfg.rng,
		allow:         cfg.allow,
		pace:          newPace(cfg.rate),
		self:          &routerEntry{status: self, generation: self.Incarnation},
		routers:       make(map[string]*routerEntry),
		targets:       make(map[string]*targetEntry),
		byKey:         make(map[uint64]*targetEntry),
		history:       newHistory(maxHistory),
		news:          newQueue(),
		probes:        make(map[uint32]*probe),
		questions:     make(map[uint32]time.Time),
		nonce:         cfg.rng.Uint32(),
		lastTick:      now,
		differedAt:    now,
		nextProbe:     now,
		nextSync:      now,
		nextJoin:      now,
		nextGC:        now.Add(gcInterval),
	}
	c.setSeeds(cfg.seeds)
	c.remembered = slices.Clone(cfg.remembered)
	c.rng.Shuffle(len(c.remembered), func(i, j int) { c.remembered[i], c.remembered[j] = c.remembered[j], c.remembered[i] })
	c.self.rehash()
	c.news.add(routerNews, self.Id)
	c.rememberTargets(now, cfg.targets)
	return c
}

// setSeeds replaces the addresses to join through, without the own one.
func (c *core) setSeeds(seeds []string) {
	c.seeds = nil
	for _, seed := range seeds {
		if seed != c.self.status.PeerAddr {
			c.seeds = append(c.seeds, seed)
		}
	}
}

// tick does all that is due at now.
func (c *core) tick(now time.Time) {
	if now.Sub(c.lastTick) > pauseBound {
		c.forgivePause(now)
	}
	c.lastTick = now
	if c.left {
		return
	}
	c.spreadLeaving(now)
	c.expireProbes(now)
	c.expireSuspicions(now)
	c.noteLapses(now)
	if !now.Before(c.nextProbe) {
		c.startProbe(now)
		c.nextProbe = now.Add(c.probeInterval(now))
	}
	if !now.Before(c.nextJoin) {
		c.greet(now)
		c.nextJoin = now.Add(c.joinInterval())
		c.rejoin(now)
	}
	if c.syncWanted && !now.Before(c.nextSync) {
		c.syncWithRandom(now)
	}
	if !now.Before(c.nextGC) {
		c.nextGC = now.Add(gcInterval)
		c.collect(now)
	}
}

// next returns when tick has something to do again.
func (c *core) next() time.Time {
	if c.left {
		return c.lastTick.Add(farFuture)
	}
	next := c.leaving.next(earliest(c.nextProbe, c.nextJoin, c.nextGC))
	if c.syncWanted {
		next = earliest(next, c.nextSync)
	}
	for _, p := range c.probes {
		next = earliest(next, p.deadline)
	}
	for _, e := range c.routers {
		if e.state == suspect {
			next = earliest(next, e.suspectUntil)
		}
	}
	return next
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

// receive handles one message that arrived from a peer address.
func (c *core) receive(now time.Time, from string, m *pb.Gossip) {
	if c.left || m.From == c.self.status.Id {
		return
	}
	if len(c.routers) == 0 {
		// The first one that it hears of: it has all to learn.
		c.syncWanted = true
	}
	for _, d := range m.Routers {
		c.mergeRouter(now, d)
	}
	// What a comparison brings, others find by theirs: a fleet that starts would pass
	// on thousands of targets that all have by then.
	spread := m.Kind != pb.GossipKind_GOSSIP_KIND_SYNC_REPLY
	for _, d := range m.Targets {
		c.mergeTarget(now, d, spread)
	}
	c.noteRoutingTable(m.From, m.RoutingTable)
	switch m.Kind {
	case pb.GossipKind_GOSSIP_KIND_PING:
		c.onPing(now, from, m)
	case pb.GossipKind_GOSSIP_KIND_ACK:
		c.onAck(now, m)
	case pb.GossipKind_GOSSIP_KIND_UPDATE:
		c.onUpdate(now, m)
	case pb.GossipKind_GOSSIP_KIND_PING_REQUEST:
		c.onPingRequest(now, from, m)
	case pb.GossipKind_GOSSIP_KIND_INDIRECT_ACK:
		c.onIndirectAck(m)
	case pb.GossipKind_GOSSIP_KIND_SYNC:
		c.onSync(now, from, m)
	case pb.GossipKind_GOSSIP_KIND_SYNC_REPLY:
		c.onSyncReply(now, m)
	}
}

// packets returns what is to be sent and forgets it.
func (c *core) packets() []packet {
	out := c.out
	c.out = nil
	return out
}

// send queues m if the budget allows it in this class.
func (c *core) send(now time.Time, to string, class budget.Class, m *pb.Gossip) bool {
	size := proto.Size(m)
	invariant.Check(size <= maxMessageBytes, "send datagram", "kind", m.Kind, "bytes", size)
	if !c.allow(now, class, size+headerBytes+packetOverheadBytes) {
		c.counts.refused++
		return false
	}
	c.out = append(c.out, packet{to: to, msg: m})
	return true
}

// message starts a message of this router.
func (c *core) message(kind pb.GossipKind, nonce uint32) *pb.Gossip {
	return &pb.Gossip{Kind: kind, From: c.self.status.Id, Nonce: nonce, RoutingTable: c.self.status.RoutingTable}
}

// newNonce returns a number that no open question uses. It is never zero.
func (c *core) newNonce() uint32 {
	c.nonce++
	if c.nonce == 0 {
		c.nonce++
	}
	return c.nonce
}

// setState publishes this router's new state.
func (c *core) setState(state pb.RouterState) {
	if c.self.status.State == state {
		return
	}
	c.publishSelf(func(s *pb.RouterStatus) { s.State = state })
}

// setRoutingTable tells the number of the routing table in force here. Only the
// first one is news. Later ones travel in this router's own messages: passed on by
// all, each change would make a piece of news of each router and hold up the rest.
func (c *core) setRoutingTable(number uint64) {
	switch present := c.self.status.RoutingTable; {
	case number <= present:
	case present == 0:
		c.publishSelf(func(s *pb.RouterStatus) { s.RoutingTable = number })
	default:
		c.self.status = withRoutingTable(c.self.status, number)
		c.routerChanges++
	}
}

// noteRoutingTable takes the number that a router's own message bears.
func (c *core) noteRoutingTable(id string, number uint64) {
	e := c.routers[id]
	if e == nil || e.state == dead || number <= e.status.RoutingTable {
		return
	}
	e.status = withRoutingTable(e.status, number)
	c.routerChanges++
}

// withRoutingTable copies a status, since readers may hold it.
func withRoutingTable(status *pb.RouterStatus, number uint64) *pb.RouterStatus {
	next := proto.CloneOf(status)
	next.RoutingTable = number
	return next
}

// publishSelf replaces this router's status; readers may hold the old one.
func (c *core) publishSelf(change func(*pb.RouterStatus)) {
	status := proto.CloneOf(c.self.status)
	status.Version++
	change(status)
	c.self.status = status
	c.self.rehash()
	c.news.add(routerNews, status.Id)
	c.routerChanges++
}

// leave tells some peers that this router is gone; it takes no part after.
func (c *core) leave(now time.Time) {
	if !c.left {
		c.publishSelf(func(s *pb.RouterStatus) { s.State = pb.RouterState_ROUTER_STATE_GONE })
	}
	c.left = true
	for _, e := range c.randomPeers(leaveFanout, "") {
		m := c.message(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
		m.Routers = []*pb.RouterDelta{c.self.goneDelta()}
		c.send(now, e.status.PeerAddr, budget.Drain, m)
	}
}

// forgivePause restarts all waits after this process did not run for a while:
// answers that it could not take are no evidence against their senders.
func (c *core) forgivePause(now time.Time) {
	clear(c.probes)
	for _, e := range c.routers {
		if e.state == suspect {
			e.suspectUntil = now.Add(c.suspectTimeout())
		}
	}
	c.syncWanted = true
}
