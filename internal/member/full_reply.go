package member

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// fullReplyInterval is the time between two full sync replies of a replica beyond a
	// burst of fullReplyBurst. It applies to replicas with more targets than fit in a
	// datagram or two: each reply takes some hundredths of a second of a small
	// processor.
	fullReplyInterval = 50 * time.Millisecond
	fullReplyBurst    = 3
	// largeReplyTargets is the number of targets from which on full replies are rate
	// limited.
	largeReplyTargets = 24
	// maxRecipients limits the recorded recipients of full replies.
	maxRecipients = 16
	// referralDelay is how long after a full reply was sent its recipient has processed
	// it.
	referralDelay = 20 * time.Millisecond
	// maxReferrals is the number of routers that a referral names.
	maxReferrals = 4
)

// fullReplyLimiter rate limits the full sync replies of a replica to routers whose view
// is almost empty, by the generic cell rate algorithm (GCRA). It protects a few small
// replicas when a large fleet restarts and all routers sync with them at once. Routers
// that received a full reply can serve the others.
type fullReplyLimiter struct {
	// theoreticalArrival is when the intervals of all replies so far are over.
	theoreticalArrival time.Time
	// recipients are the peers that were sent a full reply, the newest last.
	recipients []replyRecipient
}

type replyRecipient struct {
	id string
	at time.Time
}

// allow reports whether another full reply may be sent now, and counts it if so.
func (l *fullReplyLimiter) allow(now time.Time) bool {
	if l.theoreticalArrival.Sub(now) > (fullReplyBurst-1)*fullReplyInterval {
		return false
	}
	if l.theoreticalArrival.Before(now) {
		l.theoreticalArrival = now
	}
	l.theoreticalArrival = l.theoreticalArrival.Add(fullReplyInterval)
	return true
}

// recordRecipient records a peer that was sent a full reply.
func (l *fullReplyLimiter) recordRecipient(now time.Time, id string) {
	l.recipients = slices.DeleteFunc(l.recipients, func(p replyRecipient) bool { return p.id == id })
	l.recipients = append(l.recipients, replyRecipient{id: id, at: now})
	if len(l.recipients) > maxRecipients {
		l.recipients = l.recipients[1:]
	}
}

// sendReferral replies to a sync request with the addresses of routers that received a
// full reply at least referralDelay ago. It scans no part of the view, so that a
// replica can handle many such requests.
func (c *core) sendReferral(now time.Time, requester string, m *pb.Gossip) {
	reply := c.newSyncReply(m)
	reply.Routers = append(reply.Routers, c.self.delta())
	first, named := c.rng.IntN(maxRecipients), 0
	for i := range c.fullReplies.recipients {
		p := c.fullReplies.recipients[(first+i)%len(c.fullReplies.recipients)]
		e := c.routers[p.id]
		if e == nil || e.state != alive || e.status.Replica || p.id == m.From || now.Sub(p.at) < referralDelay || named == maxReferrals {
			continue
		}
		reply.Routers = append(reply.Routers, e.delta())
		named++
	}
	c.send(now, requester, budget.Liveness, reply)
}

// syncWithReferred syncs with a router that a busy replica named in a referral, at most
// once per join interval. If that is not possible, it schedules a sync with a random
// router.
func (c *core) syncWithReferred(now time.Time, m *pb.Gossip) {
	var addrs []string
	for _, d := range m.Routers {
		if e := c.routers[d.Status.Id]; e != nil && e.state == alive && !e.status.Replica && d.Status.Id != m.From {
			addrs = append(addrs, e.status.PeerAddr)
		}
	}
	if len(addrs) == 0 || now.Before(c.nextReferralSync) {
		c.syncRequired = true
		return
	}
	c.nextReferralSync = now.Add(c.intervals.Join)
	c.requestSync(now, addrs[c.rng.IntN(len(addrs))])
}
