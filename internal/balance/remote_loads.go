package balance

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// countTTL is how long a received count is valid.
const countTTL = 1500 * time.Millisecond

// LoadKey returns the key that identifies one incarnation of a target in the counts that
// routers exchange.
func LoadKey(st *pb.TargetStatus) uint32 {
	return uint32(fleet.TargetKey(st.Id, st.Incarnation))
}

// remoteLoads holds the numbers of requests in flight that other routers report. If many
// routers each send a few requests to many targets, the local counts of one router say
// little about the load of a target.
type remoteLoads struct {
	// peers holds the counts that other routers sent to this router.
	peers map[peerPart]peerCounts
	// totals holds each collector's sums over all routers, by collector and load key.
	totals map[string]map[uint32]totalLoad
	// lastPublished holds the local counts that were last returned to be sent to the
	// collectors.
	lastPublished map[uint32]int
}

// peerPart identifies a part of a router's counts, which may take several datagrams.
type peerPart struct {
	router string
	part   int
}

type peerCounts struct {
	counts     map[uint32]int
	receivedAt time.Time
}

type totalLoad struct {
	count int
	// mean is the exponentially weighted moving average of count over about one
	// second.
	mean       float64
	receivedAt time.Time
}

// totalEWMAWeight is the weight of the latest total in totalLoad.mean. Each collector
// sends about seven totals per second, so the mean covers about one second.
const totalEWMAWeight = 0.2

func newRemoteLoads() remoteLoads {
	return remoteLoads{peers: make(map[peerPart]peerCounts), totals: make(map[string]map[uint32]totalLoad)}
}

// inFlight returns the number of requests of the other routers at a target. Its
// estimates are the sum of the counts that the peers sent to this router and, for each
// collector, the collector's total less this router's published count. The largest
// estimate is returned, because each may be incomplete: only a collector receives
// the counts of all routers, and a router that has just become a collector has received
// few of them yet.
func (l *remoteLoads) inFlight(now time.Time, key uint32) int {
	sum := 0
	for _, p := range l.peers {
		if now.Sub(p.receivedAt) < countTTL {
			sum += p.counts[key]
		}
	}
	for _, totals := range l.totals {
		if t, ok := totals[key]; ok && now.Sub(t.receivedAt) < countTTL {
			sum = max(sum, t.count-l.lastPublished[key])
		}
	}
	return sum
}

func (l *remoteLoads) applyCounts(now time.Time, from peerPart, counts map[uint32]int) {
	l.peers[from] = peerCounts{counts: counts, receivedAt: now}
}

func (l *remoteLoads) applyTotals(now time.Time, collector string, counts map[uint32]int) {
	totals := l.totals[collector]
	if totals == nil {
		totals = make(map[uint32]totalLoad)
		l.totals[collector] = totals
	}
	for key, n := range counts {
		t := totals[key]
		t.count, t.receivedAt = n, now
		t.mean += totalEWMAWeight * (float64(n) - t.mean)
		totals[key] = t
	}
}

// mean returns the number of requests of all routers at a target, averaged over about
// one second: the largest of the collectors' means.
func (l *remoteLoads) mean(now time.Time, key uint32) float64 {
	mean := 0.0
	for _, totals := range l.totals {
		if t, ok := totals[key]; ok && now.Sub(t.receivedAt) < countTTL {
			mean = max(mean, t.mean)
		}
	}
	return mean
}

// aggregate returns the numbers of requests in flight from all routers by load key: the
// received counts that have not expired plus local, the counts of this router, whose id
// is self. A target without requests in flight is listed with zero if its last total was
// positive, so that the routers replace that total.
func (l *remoteLoads) aggregate(now time.Time, self string, local map[uint32]int) map[uint32]int {
	sums := make(map[uint32]int)
	for _, p := range l.peers {
		fresh := now.Sub(p.receivedAt) < countTTL
		for key, n := range p.counts {
			if fresh {
				sums[key] += n
			}
		}
	}
	for key, n := range local {
		sums[key] += n
	}
	for key, t := range l.totals[self] {
		if _, listed := sums[key]; !listed && t.count > 0 {
			sums[key] = 0
		}
	}
	return sums
}

// sweep removes expired counts and totals.
func (l *remoteLoads) sweep(now time.Time) {
	for from, p := range l.peers {
		if now.Sub(p.receivedAt) >= countTTL {
			delete(l.peers, from)
		}
	}
	for collector, totals := range l.totals {
		for key, t := range totals {
			if now.Sub(t.receivedAt) >= countTTL {
				delete(totals, key)
			}
		}
		if len(totals) == 0 {
			delete(l.totals, collector)
		}
	}
}
