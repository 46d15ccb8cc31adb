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
	// numBuckets is the number of parts of a view that are compared.
	numBuckets = 64
	// maxQuestions bounds the syncs that await their replies.
	maxQuestions = 16
	// renewalsOverheadBytes are the tags and lengths of renewals.
	renewalsOverheadBytes = 16
	// questionTimeout is how long replies to a sync are taken.
	questionTimeout = 2 * time.Second
	// rejoinInterval is the time between tries to reach lost routers.
	rejoinInterval = 3 * time.Second
	// greetFanout is the number of remembered routers that are told of a start at once,
	// firstQuestions of how many the view is compared with then.
	greetFanout    = 24
	firstQuestions = 2
)

func bucketOf(id string) int { return int(hashOf(id) % numBuckets) }

// buckets returns the digests of the parts of this view: the routers not
// known to be dead and the present targets.
func (c *core) buckets(now time.Time) []uint32 {
	sums := slices.Clone(c.presentNow(now).sums[:])
	sums[c.self.bucket] ^= c.self.hash
	for _, e := range c.routers {
		if e.state != dead {
			sums[e.bucket] ^= e.hash
		}
	}
	return sums
}

func fold(h uint64) uint32 { return uint32(h ^ h>>32) }

func (c *core) digest(now time.Time) uint32 {
	sum := uint32(1)
	for _, b := range c.buckets(now) {
		sum = sum*31 + b
	}
	return sum
}

func (c *core) joinInterval() time.Duration {
	if len(c.remembered) > 0 || len(c.randomPeers(1, "")) == 0 {
		return c.iv.Join
	}
	return rejoinInterval
}

// greet tells some of the remembered routers of this start, in the order of a shuffle.
// It answers the return of a whole fleet: its routers find a replica that has just
// started without waiting for the seeds, which may start last and which all others ask.
// A message without the view costs little, and those who know nobody ask by themselves.
func (c *core) greet(now time.Time) {
	for range min(greetFanout, len(c.remembered)) {
		addr := c.remembered[0]
		sent := false
		if c.greeted < firstQuestions {
			sent = c.askSync(now, addr)
		} else {
			hello := c.message(pb.GossipKind_GOSSIP_KIND_UPDATE, c.newNonce())
			hello.Routers = []*pb.RouterDelta{c.self.delta()}
			sent = c.send(now, addr, budget.Liveness, hello)
		}
		if !sent {
			return
		}
		c.greeted++
		c.remembered = c.remembered[1:]
	}
}

// rejoin asks one address at which no living router is known: a seed, or a
// router that died and may be back on the other side of a cut that ended.
func (c *core) rejoin(now time.Time) {
	known := c.knownAddrs()
	var lost []string
	for _, id := range c.sortedRouters() {
		e := c.routers[id]
		if addr := e.status.PeerAddr; e.state == dead && addr != "" && e.status.State != pb.RouterState_ROUTER_STATE_GONE {
			lost = append(lost, addr)
		}
	}
	lost = append(lost, c.seeds...)
	lost = slices.DeleteFunc(lost, func(addr string) bool { return known[addr] })
	if len(lost) > 0 {
		c.askSync(now, lost[c.rng.IntN(len(lost))])
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

func (c *core) syncWithRandom(now time.Time) {
	c.syncWanted = false
	c.nextSync = now.Add(c.iv.Sync)
	for _, e := range c.randomPeers(1, "") {
		c.askSync(now, e.status.PeerAddr)
	}
}

// askSync compares views with the router at an address; false if too many answers
// are awaited or the budget doesn't allow it.
func (c *core) askSync(now time.Time, addr string) bool {
	for nonce, asked := range c.questions {
		if now.Sub(asked) > questionTimeout {
			delete(c.questions, nonce)
		}
	}
	if len(c.questions) >= maxQuestions {
		return false
	}
	nonce := c.newNonce()
	m := c.message(pb.GossipKind_GOSSIP_KIND_SYNC, nonce)
	m.Buckets = c.buckets(now)
	m.Known = c.known(now, nonce).bits
	m.Routers = []*pb.RouterDelta{c.self.delta()}
	if !c.send(now, addr, budget.Liveness, m) {
		return false
	}
	c.questions[nonce] = now
	c.counts.syncs++
	return true
}

// known returns the entries that buckets covers.
func (c *core) known(now time.Time, salt uint32) knownSet {
	targets := c.presentNow(now).list
	set := newKnownSet(1+len(c.routers)+len(targets), salt)
	set.add(c.self.hash)
	for _, e := range c.routers {
		if e.state != dead {
			set.add(e.hash)
		}
	}
	for _, e := range targets {
		set.add(e.hash)
	}
	return set
}

// onSync answers with the entries that the asker doesn't know, of all parts in which
// the views differ.
func (c *core) onSync(now time.Time, from string, m *pb.Gossip) {
	knowsLittle := len(m.Known) == 0
	if knowsLittle && len(c.presentNow(now).list) >= largeAnswer {
		if c.self.status.Replica && !c.joins.allow(now) {
			c.nameOthers(now, from, m)
			return
		}
		c.joins.answered(now, m.From)
	}
	differs := make([]bool, numBuckets)
	for i, sum := range c.buckets(now) {
		differs[i] = i >= len(m.Buckets) || m.Buckets[i] != sum
	}
	reply := c.syncReply(m)
	known := knownSet{bits: m.Known, salt: uint64(m.Nonce)}
	routers := c.routersIn(differs, known)
	targets := c.targetsIn(now, differs, known)
	for range c.syncDatagrams {
		routers = fillRouters(reply, routers)
		targets = c.fillTargets(now, reply, targets)
		if len(reply.Routers)+len(reply.Targets) == 0 || !c.send(now, from, budget.Liveness, reply) {
			return
		}
		reply = c.message(pb.GossipKind_GOSSIP_KIND_SYNC_REPLY, m.Nonce)
	}
}

// syncReply begins the answer to a comparison. It tells the asker if it is believed dead.
func (c *core) syncReply(m *pb.Gossip) *pb.Gossip {
	reply := c.message(pb.GossipKind_GOSSIP_KIND_SYNC_REPLY, m.Nonce)
	if e := c.routers[m.From]; e != nil && e.state == dead {
		reply.Routers = append(reply.Routers, e.delta())
	}
	return reply
}

// routersIn returns the routers of the parts that are not known, in random order so
// that a bounded answer brings others each time.
func (c *core) routersIn(differs []bool, known knownSet) []*pb.RouterDelta {
	deltas := []*pb.RouterDelta{}
	for _, id := range c.sortedRouters() {
		if e := c.routers[id]; differs[e.bucket] && (e.state == dead || !known.has(e.hash)) {
			deltas = append(deltas, e.delta())
		}
	}
	c.rng.Shuffle(len(deltas), func(i, j int) { deltas[i], deltas[j] = deltas[j], deltas[i] })
	// The living first: a joiner needs them most.
	slices.SortStableFunc(deltas, func(a, b *pb.RouterDelta) int { return cmp.Compare(deadRank(a), deadRank(b)) })
	return append([]*pb.RouterDelta{c.self.delta()}, deltas...)
}

func deadRank(d *pb.RouterDelta) int {
	if d.Dead {
		return 1
	}
	return 0
}

// targetsIn returns the present targets of the parts that are not known, in random
// order.
func (c *core) targetsIn(now time.Time, differs []bool, known knownSet) []*targetEntry {
	var entries []*targetEntry
	for _, e := range c.targets {
		if differs[e.bucket] && c.present(now, e) && !known.has(e.hash) {
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

// fillTargets adds statuses together with the renewals that list them.
func (c *core) fillTargets(now time.Time, m *pb.Gossip, entries []*targetEntry) (rest []*targetEntry) {
	room := maxMessageBytes - proto.Size(m) - renewalsOverheadBytes
	r := &pb.Renewals{}
	for i, e := range entries {
		d := c.targetDelta(e.status.Id)
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
	asked, open := c.questions[m.Nonce]
	if !open || now.Sub(asked) > questionTimeout {
		return
	}
	c.applyRenewals(now, m.Renewals, asked, nil)
	if len(m.Targets) > 0 {
		c.toldWhole = true
	}
	if !c.toldWhole && len(m.Routers) <= 1+namedPeers {
		c.askNamed(now, m)
	}
}

// collect removes entries that are past their retention.
func (c *core) collect(now time.Time) {
	for id, e := range c.routers {
		if e.state == dead && now.Sub(e.diedAt) > deadRetention {
			delete(c.routers, id)
		}
	}
	for _, e := range c.targets {
		if now.Sub(e.seen) > lapsedRetention {
			c.noteTarget(e.status.Id, e.status.Incarnation, eventTargetForgotten)
			c.removeTarget(e)
		}
	}
}
