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

// core is the membership state machine of one router. The caller passes in the time and
// the messages and takes out the packets to send; core reads no clock and does no I/O.
type core struct {
	intervals Intervals
	seeds     []string
	// cachedPeers are the cached peer addresses that this router has not yet notified
	// of its start.
	cachedPeers []string
	// announcedCount is the number of cached peers that were notified of the start.
	announcedCount int
	rng            *rand.Rand
	// allow charges one packet to the budget. It returns false if the packet exceeds
	// the budget.
	allow func(now time.Time, class budget.Class, bytes int) bool

	pacer probePacer

	// syncDatagrams limits the datagrams in the reply to one sync request.
	syncDatagrams int

	self    *routerEntry
	routers map[string]*routerEntry
	targets map[string]*targetEntry
	// byKey maps the fleet.TargetKey of each entry in targets to the entry.
	byKey map[uint64]*targetEntry
	// history holds the last known incarnation of each target, also of removed ones.
	history *history
	updates *updateQueue

	probes map[uint32]*probe
	// pendingSyncs maps the nonce of each sync request whose replies are still accepted
	// to the time when it was sent.
	pendingSyncs map[uint32]time.Time
	probeOrder   []string
	nonce        uint32
	probesSent   int

	lastTick       time.Time
	nextProbe      time.Time
	nextSync       time.Time
	nextJoin       time.Time
	nextGC         time.Time
	left           bool
	leavingUpdates leavingQueue
	// handoffs are the notices that are being handed to other routers, finished those that
	// enough of them hold.
	handoffs []*handoff
	finished []*handoff
	// syncRequired is set while a sync with a random router is due, because views
	// differ or may differ.
	syncRequired bool
	// lastMismatch is when an acknowledgement last carried a digest that differs from
	// this router's; initially the time of the start.
	lastMismatch time.Time

	// fullReplies limits full sync replies. gotTargets is set once a sync reply has
	// brought targets. nextReferralSync is the earliest time of the next sync that
	// follows a referral. A referral is the reply of a replica that has reached its
	// limit of full sync replies: it names routers that recently received a full
	// reply, and the requester syncs with one of them instead.
	fullReplies      fullReplyLimiter
	gotTargets       bool
	nextReferralSync time.Time

	presentCache presentTargets
	// nextLeaseExpiry is a lower bound of the time at which the next lease on a target
	// expires.
	nextLeaseExpiry time.Time
	// nextColdEnd is when the next cold target becomes warm; zero if no target is cold.
	nextColdEnd time.Time

	// routerChanges and targetChanges count the changes of routers and of targets that
	// are visible to readers of the view.
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

// counts are the event counts that the metrics report.
type counts struct {
	suspicions  int64
	deaths      int64
	refutations int64
	syncs       int64
	refused     int64
}

type coreConfig struct {
	self        *pb.RouterStatus
	seeds       []string
	cachedPeers []string
	intervals   Intervals
	// cachedTargets are the targets known before this start.
	cachedTargets []*pb.TargetStatus
	// cachedNotices are the targets known to leave before this start.
	cachedNotices []*pb.TargetStatus
	// syncDatagrams limits the datagrams in the reply to one sync request.
	syncDatagrams int
	rng           *rand.Rand
	allow         func(now time.Time, class budget.Class, bytes int) bool
	// rate is the budget in bytes per second.
	rate int
}

func newCore(cfg coreConfig, now time.Time) *core {
	self := proto.CloneOf(cfg.self)
	self.Version = max(1, self.Version)
	c := &core{
		intervals:     cfg.intervals.withDefaults(),
		syncDatagrams: cmp.Or(cfg.syncDatagrams, DefaultSyncDatagrams),
		rng:           cfg.rng,
		allow:         cfg.allow,
		pacer:         newProbePacer(cfg.rate),
		self:          &routerEntry{status: self, generation: self.Incarnation},
		routers:       make(map[string]*routerEntry),
		targets:       make(map[string]*targetEntry),
		byKey:         make(map[uint64]*targetEntry),
		history:       newHistory(maxHistory),
		updates:       newUpdateQueue(),
		probes:        make(map[uint32]*probe),
		pendingSyncs:  make(map[uint32]time.Time),
		nonce:         cfg.rng.Uint32(),
		lastTick:      now,
		lastMismatch:  now,
		nextProbe:     now,
		nextSync:      now,
		nextJoin:      now,
		nextGC:        now.Add(gcInterval),
	}
	c.setSeeds(cfg.seeds)
	c.cachedPeers = slices.Clone(cfg.cachedPeers)
	c.rng.Shuffle(len(c.cachedPeers), func(i, j int) { c.cachedPeers[i], c.cachedPeers[j] = c.cachedPeers[j], c.cachedPeers[i] })
	c.self.rehash()
	c.updates.add(routerUpdate, self.Id)
	c.addCachedNotices(now, cfg.cachedNotices)
	c.addCachedTargets(now, cfg.cachedTargets)
	return c
}

// setSeeds replaces the addresses to join through, leaving out this router's address.
func (c *core) setSeeds(seeds []string) {
	c.seeds = nil
	for _, seed := range seeds {
		if seed != c.self.status.PeerAddr {
			c.seeds = append(c.seeds, seed)
		}
	}
}

// tick runs every periodic task that is due at now.
func (c *core) tick(now time.Time) {
	if now.Sub(c.lastTick) > pauseThreshold {
		c.resetAfterPause(now)
	}
	c.lastTick = now
	if c.left {
		return
	}
	c.sendDueLeaving(now)
	c.retryHandoffs(now)
	c.expireProbes(now)
	c.expireSuspicions(now)
	c.recordExpiredLeases(now)
	c.endCold(now)
	if !now.Before(c.nextProbe) {
		c.startProbe(now)
		c.nextProbe = now.Add(c.probeInterval(now))
	}
	if !now.Before(c.nextJoin) {
		c.announceStart(now)
		c.nextJoin = now.Add(c.joinInterval())
		c.rejoin(now)
	}
	if c.syncRequired && !now.Before(c.nextSync) {
		c.syncWithRandomPeer(now)
	}
	if !now.Before(c.nextGC) {
		c.nextGC = now.Add(gcInterval)
		c.collectGarbage(now)
	}
}

// nextTick returns when tick must run again.
func (c *core) nextTick() time.Time {
	if c.left {
		return c.lastTick.Add(farFuture)
	}
	next := c.leavingUpdates.next(earliest(c.nextProbe, c.nextJoin, c.nextGC))
	if c.syncRequired {
		next = earliest(next, c.nextSync)
	}
	if !c.nextColdEnd.IsZero() {
		next = earliest(next, c.nextColdEnd)
	}
	for _, p := range c.probes {
		next = earliest(next, p.deadline)
	}
	for _, h := range c.handoffs {
		next = earliest(next, h.retryAt)
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
		// This is the first contact with another router: this router has no view yet.
		c.syncRequired = true
	}
	for _, d := range m.Routers {
		c.mergeRouter(now, d)
	}
	// Entries from a sync are not propagated: other routers find them by their own
	// syncs. Otherwise, when a fleet starts, its routers would propagate thousands of
	// targets that all of them know by then.
	propagate := m.Kind != pb.GossipKind_GOSSIP_KIND_SYNC_REPLY
	for _, d := range m.Targets {
		c.mergeTarget(now, d, propagate)
	}
	c.recordRoutingTable(m.From, m.RoutingTable)
	c.recordEvacuations(m.From, m.Evacuations)
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

// drainPackets returns the packets to send and clears the list.
func (c *core) drainPackets() []packet {
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

// newMessage returns a message of this kind with this router as its sender.
func (c *core) newMessage(kind pb.GossipKind, nonce uint32) *pb.Gossip {
	return &pb.Gossip{Kind: kind, From: c.self.status.Id, Nonce: nonce, RoutingTable: c.self.status.RoutingTable, Evacuations: c.self.status.Evacuations}
}

// newNonce returns a nonce that no pending request uses. It is never zero.
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

// setRoutingTable records the number of the routing table that is active at this
// router. Only the first number is queued as a gossip update. Later numbers travel in
// this router's own messages: if all routers forwarded them, each change would make one
// update per router and delay all other updates.
//
// Only tests call this method. In production Members.SetRoutingTable is called, which
// does not follow this scheme: it publishes each number as a gossip update.
func (c *core) setRoutingTable(number uint64) {
	switch current := c.self.status.RoutingTable; {
	case number <= current:
	case current == 0:
		c.publishSelf(func(s *pb.RouterStatus) { s.RoutingTable = number })
	default:
		c.self.status = withRoutingTable(c.self.status, number)
		c.routerChanges++
	}
}

// recordRoutingTable records the routing table number in a message for the router that
// sent the message.
func (c *core) recordRoutingTable(id string, number uint64) {
	e := c.routers[id]
	if e == nil || e.state == dead || number <= e.status.RoutingTable {
		return
	}
	e.status = withRoutingTable(e.status, number)
	c.routerChanges++
}

// withRoutingTable returns a copy of the status with the given number. The original is
// not modified, because readers may hold it.
func withRoutingTable(status *pb.RouterStatus, number uint64) *pb.RouterStatus {
	next := proto.CloneOf(status)
	next.RoutingTable = number
	return next
}

// publishSelf replaces this router's status by a changed copy and queues it as an
// update. The old status is not modified, because readers may hold it.
func (c *core) publishSelf(change func(*pb.RouterStatus)) {
	status := proto.CloneOf(c.self.status)
	status.Version++
	change(status)
	c.self.status = status
	c.self.rehash()
	c.updates.add(routerUpdate, status.Id)
	c.routerChanges++
}

// leave notifies up to leaveFanout peers that this router has left. From then on this
// router sends no probes and ignores the membership messages that it receives.
func (c *core) leave(now time.Time) {
	if !c.left {
		c.publishSelf(func(s *pb.RouterStatus) { s.State = pb.RouterState_ROUTER_STATE_GONE })
	}
	c.left = true
	for _, e := range c.randomPeers(leaveFanout, "") {
		m := c.newMessage(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
		m.Routers = []*pb.RouterDelta{c.self.goneDelta()}
		c.send(now, e.status.PeerAddr, budget.Drain, m)
	}
}

// resetAfterPause drops the pending probes and restarts the suspicions after this
// process did not run for a while: replies that it could not receive are no evidence
// against the routers that sent them. It also schedules a sync.
func (c *core) resetAfterPause(now time.Time) {
	clear(c.probes)
	for _, e := range c.routers {
		if e.state == suspect {
			e.suspectUntil = now.Add(c.suspectTimeout())
		}
	}
	c.syncRequired = true
}
