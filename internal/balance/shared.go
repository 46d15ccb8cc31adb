package balance

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// countTTL is how long a count is taken as present.
const countTTL = 1500 * time.Millisecond

// loadKey identifies one incarnation of a target in counts.
func loadKey(st *pb.TargetStatus) uint32 {
	return uint32(fleet.TargetKey(st.Id, st.Incarnation))
}

// remoteLoads is what a router knows of the others' requests in flight. It
// answers many routers that each send a few requests to many targets: what one
// of them sees by itself says little of a target's load.
type remoteLoads struct {
	// peers holds the counts of routers that send them here.
	peers map[string]peerCounts
	// totals holds each collector's sums over all routers, by target.
	totals map[string]map[uint32]totalLoad
	// published holds the own counts as they were last sent.
	published map[uint32]int
}

type peerCounts struct {
	counts     map[uint32]int
	receivedAt time.Time
}

type totalLoad struct {
	count int
	// mean is the count over the last second or so.
	mean       float64
	receivedAt time.Time
}

// totalEWMAWeight is the weight of one message in the mean; each collector sends some
// seven a second.
const totalEWMAWeight = 0.2

func newRemoteLoads() remoteLoads {
	return remoteLoads{peers: make(map[string]peerCounts), totals: make(map[string]map[uint32]totalLoad)}
}

// inFlight returns the requests of the other routers at a target: what they sent
// here or what a collector added up, whichever is most. Only a collector is sent
// the counts of all, and one that has just become so knows few of them.
func (s *remoteLoads) inFlight(now time.Time, key uint32) int {
	sum := 0
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) < countTTL {
			sum += p.counts[key]
		}
	}
	for _, totals := range s.totals {
		if t, ok := totals[key]; ok && now.Sub(t.receivedAt) < countTTL {
			sum = max(sum, t.count-s.published[key])
		}
	}
	return sum
}

func (s *remoteLoads) applyCounts(now time.Time, router string, counts map[uint32]int) {
	s.peers[router] = peerCounts{counts: counts, receivedAt: now}
}

func (s *remoteLoads) applyTotals(now time.Time, collector string, counts map[uint32]int) {
	totals := s.totals[collector]
	if totals == nil {
		totals = make(map[uint32]totalLoad)
		s.totals[collector] = totals
	}
	for key, n := range counts {
		t := totals[key]
		t.count, t.receivedAt = n, now
		t.mean += totalEWMAWeight * (float64(n) - t.mean)
		totals[key] = t
	}
}

// mean returns the requests in flight of all routers at a target over the last
// second or so.
func (s *remoteLoads) mean(now time.Time, key uint32) float64 {
	mean := 0.0
	for _, totals := range s.totals {
		if t, ok := totals[key]; ok && now.Sub(t.receivedAt) < countTTL {
			mean = max(mean, t.mean)
		}
	}
	return mean
}

// aggregate returns the counts of all routers, the own ones included, as self adds them
// up. Targets at which nothing is in flight any more are listed with zero.
func (s *remoteLoads) aggregate(now time.Time, self string, own map[uint32]int) map[uint32]int {
	sums := make(map[uint32]int)
	for _, p := range s.peers {
		fresh := now.Sub(p.receivedAt) < countTTL
		for key, n := range p.counts {
			if fresh {
				sums[key] += n
			}
		}
	}
	for key, n := range own {
		sums[key] += n
	}
	for key, t := range s.totals[self] {
		if _, listed := sums[key]; !listed && t.count > 0 {
			sums[key] = 0
		}
	}
	return sums
}

// sweep forgets counts that are long out of date.
func (s *remoteLoads) sweep(now time.Time) {
	for router, p := range s.peers {
		if now.Sub(p.receivedAt) >= countTTL {
			delete(s.peers, router)
		}
	}
	for collector, totals := range s.totals {
		for key, t := range totals {
			if now.Sub(t.receivedAt) >= countTTL {
				delete(totals, key)
			}
		}
		if len(totals) == 0 {
			delete(s.totals, collector)
		}
	}
}
