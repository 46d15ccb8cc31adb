package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// helpers is the number of routers asked to probe a silent one.
	helpers = 2
	// maxProbes bounds the open probes, those for others included.
	maxProbes = 64
)

// probe is one ping that awaits its answer.
type probe struct {
	id       string
	sent     time.Time
	deadline time.Time
	// present are the targets that the ping's group digests were made of.
	present []*targetEntry
	// helped tells that helpers were asked.
	helped bool
	// asker and askerNonce are set on a ping made for another router.
	asker      string
	askerNonce uint32
}

// startProbe pings the next router in this round's random order.
func (c *core) startProbe(now time.Time) {
	c.pace.probed()
	c.news.nextRound()
	if len(c.probes) >= maxProbes {
		return
	}
	target := c.nextInOrder()
	if target == nil {
		return
	}
	c.rounds++
	nonce := c.newNonce()
	m := c.message(pb.GossipKind_GOSSIP_KIND_PING, nonce)
	m.WantLoads = c.rounds%loadRounds == 0
	m.Digest = c.digest(now)
	present := c.presentNow(now)
	m.GroupDigests = present.digests()
	if target.state == suspect {
		// It must hear of the suspicion to refute it.
		m.Routers = append(m.Routers, target.delta())
	}
	if !c.sendWithNews(now, target.status.PeerAddr, budget.Liveness, m) {
		return
	}
	c.probes[nonce] = &probe{
		id:       target.status.Id,
		sent:     now,
		deadline: now.Add(c.iv.ProbeTimeout),
		present:  present.list,
	}
}

// nextInOrder returns the next router to probe. Each round visits all routers
// once, in a new order, which bounds the time until a silent one is probed.
func (c *core) nextInOrder() *routerEntry {
	for range 2 {
		for len(c.order) > 0 {
			id := c.order[0]
			c.order = c.order[1:]
			if e := c.routers[id]; e != nil && e.state != dead {
				return e
			}
		}
		c.order = c.sortedRouters()
		c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	return nil
}

// sortedRouters returns the ids of the other routers; sorted, so that equal
// seeds give equal runs.
func (c *core) sortedRouters() []string {
	ids := make([]string, 0, len(c.routers))
	for id := range c.routers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *core) expireProbes(now time.Time) {
	for _, nonce := range c.dueProbes(now) {
		p := c.probes[nonce]
		e := c.routers[p.id]
		switch {
		case p.asker != "" || e == nil || e.state == dead:
			delete(c.probes, nonce)
		case !p.helped:
			p.helped = true
			p.deadline = now.Add(2 * c.iv.ProbeTimeout)
			c.askHelpers(now, nonce, e)
		default:
			delete(c.probes, nonce)
			c.suspectRouter(now, e)
		}
	}
}

func (c *core) dueProbes(now time.Time) []uint32 {
	var due []uint32
	for nonce, p := range c.probes {
		if !now.Before(p.deadline) {
			due = append(due, nonce)
		}
	}
	slices.Sort(due)
	return due
}

func (c *core) askHelpers(now time.Time, nonce uint32, silent *routerEntry) {
	for _, helper := range c.randomPeers(helpers, silent.status.Id) {
		m := c.message(pb.GossipKind_GOSSIP_KIND_PING_REQUEST, nonce)
		m.Subject = silent.status.PeerAddr
		c.send(now, helper.status.PeerAddr, budget.Liveness, m)
	}
}

func (c *core) onPingRequest(now time.Time, from string, m *pb.Gossip) {
	if m.Subject == "" || len(c.probes) >= maxProbes {
		return
	}
	nonce := c.newNonce()
	ping := c.message(pb.GossipKind_GOSSIP_KIND_PING, nonce)
	if !c.send(now, m.Subject, budget.Liveness, ping) {
		return
	}
	c.probes[nonce] = &probe{
		sent:       now,
		deadline:   now.Add(c.iv.ProbeTimeout),
		asker:      from,
		askerNonce: m.Nonce,
	}
}

// onPing answers with renewals and news. The answer alone matters most: a
// router that can't afford it would be taken for dead.
func (c *core) onPing(now time.Time, from string, m *pb.Gossip) {
	c.noticeSender(m.From)
	ack := c.message(pb.GossipKind_GOSSIP_KIND_ACK, m.Nonce)
	ack.Digest = c.digest(now)
	if e := c.routers[m.From]; e != nil && e.state == dead {
		// It must hear of its death to return under a new generation.
		ack.Routers = append(ack.Routers, e.delta())
	}
	ack.Renewals = c.renewals(now, m.From, m.GroupDigests, renewalRoom(ack))
	if m.WantLoads {
		ack.Loads = c.loads(now)
		if proto.Size(ack) <= maxMessageBytes && c.sendWithNews(now, from, budget.Load, ack) {
			return
		}
		ack.Loads = nil
	}
	if c.sendWithNews(now, from, budget.Liveness, ack) {
		return
	}
	ack.Renewals = nil
	c.send(now, from, budget.Drain, ack)
}

func (c *core) onAck(now time.Time, m *pb.Gossip) {
	p := c.probes[m.Nonce]
	if p == nil {
		return
	}
	delete(c.probes, m.Nonce)
	if p.asker != "" {
		c.send(now, p.asker, budget.Liveness, c.message(pb.GossipKind_GOSSIP_KIND_INDIRECT_ACK, p.askerNonce))
		return
	}
	if m.From != p.id {
		return
	}
	c.applyRenewals(now, m.Renewals, p.sent, p.present)
	c.applyLoads(now, m.Loads, p.sent)
	c.noticeSender(m.From)
	if m.Digest != c.digest(now) {
		c.syncWanted = true
		c.differedAt = now
	}
}

func (c *core) onIndirectAck(m *pb.Gossip) {
	if p := c.probes[m.Nonce]; p != nil && p.asker == "" && p.helped {
		delete(c.probes, m.Nonce)
	}
}

// noticeSender asks for a sync if the sender is not known to be alive.
func (c *core) noticeSender(id string) {
	if e := c.routers[id]; e == nil || e.state == dead {
		c.syncWanted = true
	}
}

func (c *core) dataCentreOf(id string) string {
	if e := c.routers[id]; e != nil {
		return e.status.DataCentre
	}
	return ""
}
