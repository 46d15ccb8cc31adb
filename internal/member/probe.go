package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// indirectProbers is the number of routers that are requested to probe an
	// unresponsive one.
	indirectProbers = 2
	// maxProbes limits the pending probes, including those made on behalf of other
	// routers.
	maxProbes = 64
)

// probe is a ping that has not been acknowledged yet.
type probe struct {
	id       string
	sent     time.Time
	deadline time.Time
	// targets are the present targets at the time of the ping, which its group digests
	// cover.
	targets []*targetEntry
	// indirectSent is set once indirect probes were requested.
	indirectSent bool
	// requester and requesterNonce are set on an indirect probe, made on behalf of
	// another router.
	requester      string
	requesterNonce uint32
	// handoff is the notice that the ping carried, nil if it carried none.
	handoff *handoff
}

// startProbe pings the next router in the random probe order.
func (c *core) startProbe(now time.Time) {
	c.pacer.endInterval()
	c.updates.countProbe()
	if len(c.probes) >= maxProbes {
		return
	}
	peer := c.nextToProbe()
	if peer == nil {
		return
	}
	c.probesSent++
	m := c.newMessage(pb.GossipKind_GOSSIP_KIND_PING, c.newNonce())
	m.WantLoads = c.probesSent%probesPerLoadRequest == 0
	p := c.describeView(now, peer, m)
	if c.sendWithUpdates(now, peer.status.PeerAddr, budget.Liveness, m) {
		c.probes[m.Nonce] = p
	}
}

// ping sends a probe besides the regular ones, with the notice d of a handoff.
func (c *core) ping(now time.Time, peer *routerEntry, class budget.Class, h *handoff, d *pb.TargetDelta) {
	if len(c.probes) >= maxProbes {
		return
	}
	m := c.newMessage(pb.GossipKind_GOSSIP_KIND_PING, c.newNonce())
	m.Targets = append(m.Targets, d)
	p := c.describeView(now, peer, m)
	p.handoff = h
	if c.send(now, peer.status.PeerAddr, class, m) {
		c.probes[m.Nonce] = p
	}
}

// describeView adds this router's view to the ping m and returns the probe that the ping makes.
func (c *core) describeView(now time.Time, peer *routerEntry, m *pb.Gossip) *probe {
	m.Digest = c.digest(now)
	present := c.presentNow(now)
	m.GroupDigests = present.digests()
	if peer.state == suspect {
		// The suspected router must learn of the suspicion to refute it.
		m.Routers = append(m.Routers, peer.delta())
	}
	return &probe{
		id:       peer.status.Id,
		sent:     now,
		deadline: now.Add(c.intervals.ProbeTimeout),
		targets:  present.list,
	}
}

// nextToProbe returns the next router to probe. Each pass over the probe order visits
// all routers once, and each pass has a new random order. This bounds the time until an
// unresponsive router is probed.
func (c *core) nextToProbe() *routerEntry {
	for range 2 {
		for len(c.probeOrder) > 0 {
			id := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if e := c.routers[id]; e != nil && e.state != dead {
				return e
			}
		}
		c.probeOrder = c.sortedRouterIDs()
		c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return nil
}

// sortedRouterIDs returns the ids of the other routers, sorted so that equal seeds of
// the random generator give equal runs.
func (c *core) sortedRouterIDs() []string {
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
		case p.requester != "" || e == nil || e.state == dead:
			delete(c.probes, nonce)
		case !p.indirectSent:
			p.indirectSent = true
			p.deadline = now.Add(2 * c.intervals.ProbeTimeout)
			c.requestIndirectProbes(now, nonce, e)
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

func (c *core) requestIndirectProbes(now time.Time, nonce uint32, unresponsive *routerEntry) {
	for _, helper := range c.randomPeers(indirectProbers, unresponsive.status.Id) {
		m := c.newMessage(pb.GossipKind_GOSSIP_KIND_PING_REQUEST, nonce)
		m.Subject = unresponsive.status.PeerAddr
		c.send(now, helper.status.PeerAddr, budget.Liveness, m)
	}
}

func (c *core) onPingRequest(now time.Time, from string, m *pb.Gossip) {
	if m.Subject == "" || len(c.probes) >= maxProbes {
		return
	}
	nonce := c.newNonce()
	ping := c.newMessage(pb.GossipKind_GOSSIP_KIND_PING, nonce)
	if !c.send(now, m.Subject, budget.Liveness, ping) {
		return
	}
	c.probes[nonce] = &probe{
		sent:           now,
		deadline:       now.Add(c.intervals.ProbeTimeout),
		requester:      from,
		requesterNonce: m.Nonce,
	}
}

// onPing acknowledges a ping, with renewals, load reports if requested, and updates as
// far as the budget allows. If it does not allow the renewals either, an
// acknowledgement without all these is sent in the drain class: a router that does not
// acknowledge pings would be declared dead.
func (c *core) onPing(now time.Time, from string, m *pb.Gossip) {
	c.syncIfUnknown(m.From)
	ack := c.newMessage(pb.GossipKind_GOSSIP_KIND_ACK, m.Nonce)
	ack.Digest = c.digest(now)
	if e := c.routers[m.From]; e != nil && e.state == dead {
		// The sender must learn that it was declared dead, so that it returns under a
		// new generation.
		ack.Routers = append(ack.Routers, e.delta())
	}
	ack.Renewals = c.renewals(now, m.From, m.GroupDigests, renewalRoom(ack))
	if m.WantLoads {
		ack.Loads = c.loadReports(now)
		if proto.Size(ack) <= maxMessageBytes && c.sendWithUpdates(now, from, budget.Load, ack) {
			return
		}
		ack.Loads = nil
	}
	if c.sendWithUpdates(now, from, budget.Liveness, ack) {
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
	if p.requester != "" {
		c.send(now, p.requester, budget.Liveness, c.newMessage(pb.GossipKind_GOSSIP_KIND_INDIRECT_ACK, p.requesterNonce))
		return
	}
	if m.From != p.id {
		return
	}
	if p.handoff != nil {
		c.recordHeld(p.handoff, p.id)
	}
	c.applyRenewals(now, m.Renewals, p.sent, p.targets)
	c.applyLoads(now, m.Loads, p.sent)
	c.syncIfUnknown(m.From)
	if m.Digest != c.digest(now) {
		c.syncRequired = true
		c.lastMismatch = now
	}
}

func (c *core) onIndirectAck(m *pb.Gossip) {
	if p := c.probes[m.Nonce]; p != nil && p.requester == "" && p.indirectSent {
		delete(c.probes, m.Nonce)
	}
}

// syncIfUnknown schedules a sync if the router is unknown or was declared dead.
func (c *core) syncIfUnknown(id string) {
	if e := c.routers[id]; e == nil || e.state == dead {
		c.syncRequired = true
	}
}

func (c *core) dataCentreOf(id string) string {
	if e := c.routers[id]; e != nil {
		return e.status.DataCentre
	}
	return ""
}
