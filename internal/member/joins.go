package member

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// wholeAnswerInterval is the time between two answers of a replica with more targets
	// than fit in a datagram or two, beyond wholeAnswerBurst of them: each takes some
	// hundredths of a second of a small processor.
	wholeAnswerInterval = 50 * time.Millisecond
	wholeAnswerBurst    = 3
	// largeAnswer is the number of targets from which on the answer to one who knows few
	// is spaced.
	largeAnswer = 24
	// maxToldPeers bounds the peers that are remembered as having been answered whole.
	maxToldPeers = 16
	// toldAfter is how long after a whole answer was sent its receiver has read it.
	toldAfter = 20 * time.Millisecond
	// namedPeers is the number of peers that one is sent to.
	namedPeers = 4
)

// joins spaces the whole answers of a replica to routers that know little. It answers the
// return of a large fleet: all routers compare their empty views with a few small
// replicas, and those that were answered can answer the others.
type joins struct {
	// due is when all answers so far have had their interval.
	due time.Time
	// told are the peers that had a whole answer, the newest last.
	told []toldPeer
}

type toldPeer struct {
	id string
	at time.Time
}

// allow counts one more whole answer; false if it is too early for it.
func (j *joins) allow(now time.Time) bool {
	if j.due.Sub(now) > (wholeAnswerBurst-1)*wholeAnswerInterval {
		return false
	}
	if j.due.Before(now) {
		j.due = now
	}
	j.due = j.due.Add(wholeAnswerInterval)
	return true
}

// answered remembers a peer that was sent a whole answer.
func (j *joins) answered(now time.Time, id string) {
	j.told = slices.DeleteFunc(j.told, func(p toldPeer) bool { return p.id == id })
	j.told = append(j.told, toldPeer{id: id, at: now})
	if len(j.told) > maxToldPeers {
		j.told = j.told[1:]
	}
}

// nameOthers answers a comparison by the routers that had a whole answer a moment ago.
// It looks at no part of the view, so that a replica can answer many.
func (c *core) nameOthers(now time.Time, asker string, m *pb.Gossip) {
	reply := c.syncReply(m)
	reply.Routers = append(reply.Routers, c.self.delta())
	first, named := c.rng.IntN(maxToldPeers), 0
	for i := range c.joins.told {
		p := c.joins.told[(first+i)%len(c.joins.told)]
		e := c.routers[p.id]
		if e == nil || e.state != alive || e.status.Replica || p.id == m.From || now.Sub(p.at) < toldAfter || named == namedPeers {
			continue
		}
		reply.Routers = append(reply.Routers, e.delta())
		named++
	}
	c.send(now, asker, budget.Liveness, reply)
}

// askNamed compares the view with a router that a busy replica named in place of an
// answer, at most once in a join interval. Without one it asks anybody again soon.
func (c *core) askNamed(now time.Time, m *pb.Gossip) {
	var addrs []string
	for _, d := range m.Routers {
		if e := c.routers[d.Status.Id]; e != nil && e.state == alive && !e.status.Replica && d.Status.Id != m.From {
			addrs = append(addrs, e.status.PeerAddr)
		}
	}
	if len(addrs) == 0 || now.Before(c.nextNamed) {
		c.syncWanted = true
		return
	}
	c.nextNamed = now.Add(c.iv.Join)
	c.askSync(now, addrs[c.rng.IntN(len(addrs))])
}
