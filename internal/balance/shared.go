package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// collectors is the number of routers that add up the others' counts. Each
	// router sends its own to them, and they send the sums to all, so that the
	// messages grow in proportion to the routers.
	collectors = 2
	// countLife is how long a count is taken as present.
	countLife = 1500 * time.Millisecond
)

// loadKey identifies one incarnation of a target in counts.
func loadKey(st *pb.TargetStatus) uint32 {
	return uint32(fleet.TargetKey(st.Id, st.Incarnation))
}

// Collectors returns the routers that add up counts, of those that serve
// callers. All routers with the same view choose the same ones.
func Collectors(routers []*pb.RouterStatus) []*pb.RouterStatus {
	var serving []*pb.RouterStatus
	for _, r := range routers {
		if r.CallerAddr != "" && r.State == pb.RouterState_ROUTER_STATE_SERVING {
			serving = append(serving, r)
		}
	}
	slices.SortFunc(serving, func(a, b *pb.RouterStatus) int {
		return cmp.Or(cmp.Compare(fleet.Score("collector", b.Id), fleet.Score("collector", a.Id)), cmp.Compare(a.Id, b.Id))
	})
	return serving[:min(collectors, len(serving))]
}

// sharedLoads is what a router knows of the others' requests in flight. It
// answers many routers that each send a few requests to many targets: what one
// of them sees by itself says little of a target's load.
type sharedLoads struct {
	// peers holds the counts of routers that send them here.
	peers map[string]peerCounts
	// totals holds the collectors' sums over all routers.
	totals map[uint32]total
	// told holds the own counts as they were last sent.
	told map[uint32]int
}

type peerCounts struct {
	counts map[uint32]int
	at     time.Time
}

type total struct {
	count int
	// mean is the count over the last second or so.
	mean float64
	at   time.Time
}

// meanWeight is the weight of one message in the mean; there are some dozen a
// second.
const meanWeight = 0.1

func newSharedLoads() sharedLoads {
	return sharedLoads{peers: make(map[string]peerCounts), totals: make(map[uint32]total)}
}

// others returns the requests of the other routers at a target: what they sent
// here or what a collector added up, whichever is more. Only a collector is sent
// the counts of all.
func (s *sharedLoads) others(now time.Time, key uint32) int {
	sum := 0
	for _, p := range s.peers {
		if now.Sub(p.at) < countLife {
			sum += p.counts[key]
		}
	}
	if t, ok := s.totals[key]; ok && now.Sub(t.at) < countLife {
		sum = max(sum, t.count-s.told[key])
	}
	return sum
}

func (s *sharedLoads) takeCounts(now time.Time, router string, counts map[uint32]int) {
	s.peers[router] = peerCounts{counts: counts, at: now}
}

func (s *sharedLoads) takeTotals(now time.Time, counts map[uint32]int) {
	for key, n := range counts {
		t := s.totals[key]
		t.count, t.at = n, now
		t.mean += meanWeight * (float64(n) - t.mean)
		s.totals[key] = t
	}
}

// mean returns the requests in flight of all routers at a target over the last
// second or so.
func (s *sharedLoads) mean(now time.Time, key uint32) float64 {
	if t, ok := s.totals[key]; ok && now.Sub(t.at) < countLife {
		return t.mean
	}
	return 0
}

// sums returns the counts of all routers, the own ones included. Targets at
// which nothing is in flight any more are listed once more with zero.
func (s *sharedLoads) sums(now time.Time, own map[uint32]int) map[uint32]int {
	sums := make(map[uint32]int)
	for _, p := range s.peers {
		fresh := now.Sub(p.at) < countLife
		for key, n := range p.counts {
			if fresh {
				sums[key] += n
			}
		}
	}
	for key, n := range own {
		sums[key] += n
	}
	for key, t := range s.totals {
		if _, listed := sums[key]; !listed && t.count > 0 && now.Sub(t.at) < countLife {
			sums[key] = 0
		}
	}
	return sums
}

// sweep forgets counts that are long out of date.
func (s *sharedLoads) sweep(now time.Time) {
	for router, p := range s.peers {
		if now.Sub(p.at) >= countLife {
			delete(s.peers, router)
		}
	}
	for key, t := range s.totals {
		if now.Sub(t.at) >= countLife {
			delete(s.totals, key)
		}
	}
}
