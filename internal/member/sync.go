package member

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// numBuckets is the number of buckets that a view is divided into for comparison.
	numBuckets = 64
	// maxPendingSyncs limits the number of sync requests whose replies are still
	// accepted.
	maxPendingSyncs = 16
	// renewalsOverheadBytes is the size of the tags and lengths of renewals.
	renewalsOverheadBytes = 16
	// syncTimeout is how long replies to a sync request are accepted.
	syncTimeout = 2 * time.Second
	// rejoinInterval is the time between attempts to reach lost routers.
	rejoinInterval = 3 * time.Second
	// announceFanout is the maximum number of cached peers that are notified of a start
	// at once. The first startSyncs of the cached peers are sent a sync request instead
	// of an announcement.
	announceFanout = 24
	startSyncs     = 2
)

func bucketOf(id string) int { return int(hashOf(id) % numBuckets) }

// buckets returns the bucket digests of this view, which covers the routers not known
// to be dead and the present targets.
func (c *core) buckets(now time.Time) []uint32 {
	sums := slices.Clone(c.presentNow(now).bucketSums[:])
	sums[c.self.bucket] ^= c.self.hash
	for _, e := range c.routers {
		if e.state != dead {
			sums[e.bucket] ^= e.hash
		}
	}
	return sums
}

// fold32 reduces a hash to 32 bits.
func fold32(h uint64) uint32 { return uint32(h ^ h>>32) }

// digest returns one digest over all buckets.
func (c *core) digest(now time.Time) uint32 {
	sum := uint32(1)
	for _, b := range c.buckets(now) {
		sum = sum*31 + b
	}
	return sum
}

func (c *core) joinInterval() time.Duration {
	if len(c.cachedPeers) > 0 || len(c.randomPeers(1, "")) == 0 {
		return c.intervals.Join
	}
	return rejoinInterval
}

// announceStart notifies some of the cached peers of this start, in random order. When
// a whole fleet restarts, its routers thus find a replica that has just started without
// waiting for the seeds, which may start last and are sent requests by all other
// routers. An announcement does not contain the view and so is small; recipients that
// know no other router request a sync by themselves.
func (c *core) announceStart(now time.Time) {
	for range min(announceFanout, len(c.cachedPeers)) {
		addr := c.cachedPeers[0]
		sent := false
		if c.announcedCount < startSyncs {
			sent = c.requestSync(now, addr)
		} else {
			announcement := c.newMessage(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
			announcement.Routers = []*pb.RouterDelta{c.self.delta()}
			sent = c.send(now, addr, budget.Liveness, announcement)
		}
		if !sent {
			return
		}
		c.announcedCount++
		c.cachedPeers = c.cachedPeers[1:]
	}
}

// rejoin requests a sync from one address at which no living router is known: a seed,
// or a router that died and may be reachable again after a network partition.
func (c *core) rejoin(now time.Time) {
	known := c.knownAddrs()
	var lost []string
	for _, id := range c.sortedRouterIDs() {
		e := c.routers[id]
		if addr := e.status.PeerAddr; e.state == dead && addr != "" && e.status.State != pb.RouterState_ROUTER_STATE_GONE {
			lost = append(lost, addr)
		}
	}
	lost = append(lost, c.seeds...)
	lost = slices.DeleteFunc(lost, func(addr string) bool { return known[addr] })
	if len(lost) > 0 {
		c.requestSync(now, lost[c.rng.IntN(len(lost))])
	}
}

// knownAddrs returns the peer addresses of the routers not known to be dead.
func (c *core) knownAddrs() map[string]bool {
	known := make(map[string]bool, len(c.routers))
	for _, e := range c.routers {
		if e.state != dead {
			known[e.status.PeerAddr] = true
		}
	}
	return known
}

func (c *core) syncWithRandomPeer(now time.Time) {
	c.syncRequired = false
	c.nextSync = now.Add(c.intervals.Sync)
	for _, e := range c.randomPeers(1, "") {
		c.requestSync(now, e.status.PeerAddr)
	}
}

// requestSync sends a sync request to an address. It returns false if too many sync
// requests are pending or the budget is too short.
func (c *core) requestSync(now time.Time, addr string) bool {
	for nonce, sentAt := range c.pendingSyncs {
		if now.Sub(sentAt) > syncTimeout {
			delete(c.pendingSyncs, nonce)
		}
	}
	if len(c.pendingSyncs) >= maxPendingSyncs {
		return false
	}
	nonce := c.newNonce()
	m := c.newMessage(pb.GossipKind_GOSSIP_KIND_SYNC, nonce)
	m.Buckets = c.buckets(now)
	m.Known = c.knownFilter(now, nonce).bits
	m.Routers = []*pb.RouterDelta{c.self.delta()}
	if !c.send(now, addr, budget.Liveness, m) {
		return false
	}
	c.pendingSyncs[nonce] = now
	c.counts.syncs++
	return true
}

// knownFilter returns a Bloom filter of the entries that buckets covers.
func (c *core) knownFilter(now time.Time, salt uint32) bloomFilter {
	targets := c.presentNow(now).list
	filter := newBloomFilter(1+len(c.routers)+len(targets), salt)
	filter.add(c.self.hash)
	for _, e := range c.routers {
		if e.state != dead {
			filter.add(e.hash)
		}
	}
	for _, e := range targets {
		filter.add(e.hash)
	}
	return filter
}

// onSync replies with the entries that the requester doesn't know, of all buckets in
// which the views differ.
func (c *core) onSync(now time.Time, from string, m *pb.Gossip) {
	requestsAll := len(m.Known) == 0
	if requestsAll && len(c.presentNow(now).list) >= largeReplyTargets {
		if c.self.status.Replica && !c.fullReplies.allow(now) {
			c.sendReferral(now, from, m)
			return
		}
		c.fullReplies.recordRecipient(now, m.From)
	}
	differs := make([]bool, numBuckets)
	for i, sum := range c.buckets(now) {
		differs[i] = i >= len(m.Buckets) || m.Buckets[i] != sum
	}
	reply := c.newSyncReply(m)
	known := bloomFilter{bits: m.Known, salt: uint64(m.Nonce)}
	routers := c.routersIn(differs, known)
	targets := c.targetsIn(now, differs, known)
	for range c.syncDatagrams {
		routers = fillRouters(reply, routers)
		targets = c.fillTargets(now, reply, targets)
		if len(reply.Routers)+len(reply.Targets) == 0 || !c.send(now, from, budget.Liveness, reply) {
			return
		}
		reply = c.newMessage(pb.GossipKind_GOSSIP_KIND_SYNC_REPLY, m.Nonce)
	}
}

// newSyncReply returns a sync reply without entries. If this router considers the
// requester dead, the reply says so, so that the requester returns under a new
// generation.
func (c *core) newSyncReply(m *pb.Gossip) *pb.Gossip {
	reply := c.newMessage(pb.GossipKind_GOSSIP_KIND_SYNC_REPLY, m.Nonce)
	if e := c.routers[m.From]; e != nil && e.state == dead {
		reply.Routers = append(reply.Routers, e.delta())
	}
	return reply
}

// routersIn returns this router and those routers of the differing buckets that the
// requester doesn't know. Living routers come first, in random order, then dead ones,
// in random order, so that replies that can't hold all entries contain different ones
// each time.
func (c *core) routersIn(differs []bool, known bloomFilter) []*pb.RouterDelta {
	deltas := []*pb.RouterDelta{}
	for _, id := range c.sortedRouterIDs() {
		if e := c.routers[id]; differs[e.bucket] && (e.state == dead || !known.mayContain(e.hash)) {
			deltas = append(deltas, e.delta())
		}
	}
	c.rng.Shuffle(len(deltas), func(i, j int) { deltas[i], deltas[j] = deltas[j], deltas[i] })
	// A joining router needs the living routers most.
	slices.SortStableFunc(deltas, func(a, b *pb.RouterDelta) int { return cmp.Compare(deadRank(a), deadRank(b)) })
	return append([]*pb.RouterDelta{c.self.delta()}, deltas...)
}

func deadRank(d *pb.RouterDelta) int {
	if d.Dead {
		return 1
	}
	return 0
}

// targetsIn returns those present targets of the differing buckets that the requester
// doesn't know, in random order.
func (c *core) targetsIn(now time.Time, differs []bool, known bloomFilter) []*targetEntry {
	var entries []*targetEntry
	for _, e := range c.targets {
		if differs[e.bucket] && c.present(now, e) && !known.mayContain(e.hash) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *targetEntry) int { return cmp.Compare(a.key, b.key) })
	c.rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

func fillRouters(m *pb.Gossip, deltas []*pb.RouterDelta) (rest []*pb.RouterDelta) {
	room := maxMessageBytes - proto.Size(m)
	for i, d := range deltas {
		if room -= proto.Size(d) + deltaOverheadBytes; room < 0 {
			return deltas[i:]
		}
		m.Routers = append(m.Routers, d)
	}
	return nil
}

// fillTargets adds as many statuses as fit, with the renewals of the same targets. It
// returns the remaining entries.
func (c *core) fillTargets(now time.Time, m *pb.Gossip, entries []*targetEntry) (rest []*targetEntry) {
	room := maxMessageBytes - proto.Size(m) - renewalsOverheadBytes
	r := &pb.Renewals{}
	for i, e := range entries {
		d := c.targetDelta(now, e.status.Id)
		if room -= proto.Size(d) + deltaOverheadBytes + renewalBytes; room < 0 {
			rest = entries[i:]
			break
		}
		m.Targets = append(m.Targets, d)
		if c.leased(now, e) && !e.status.Leaving {
			addRenewal(r, now, e)
		}
	}
	if len(r.Keys) > 0 {
		m.Renewals = r
	}
	return rest
}

func (c *core) onSyncReply(now time.Time, m *pb.Gossip) {
	sentAt, pending := c.pendingSyncs[m.Nonce]
	if !pending || now.Sub(sentAt) > syncTimeout {
		return
	}
	c.applyRenewals(now, m.Renewals, sentAt, nil)
	if len(m.Targets) > 0 {
		c.gotTargets = true
	}
	// A reply without targets that names few routers may be a referral.
	if !c.gotTargets && len(m.Routers) <= 1+maxReferrals {
		c.syncWithReferred(now, m)
	}
}

// collectGarbage removes entries that are past their retention.
func (c *core) collectGarbage(now time.Time) {
	for id, e := range c.routers {
		if e.state == dead && now.Sub(e.diedAt) > deadRetention {
			delete(c.routers, id)
		}
	}
	for _, e := range c.targets {
		if now.Sub(e.lastSeen) > expiredRetention {
			c.recordTargetEvent(e.status.Id, e.status.Incarnation, eventTargetRemoved)
			c.removeTarget(e)
		}
	}
}
