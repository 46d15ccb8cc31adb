package instance

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// inFlightInterval lies between two messages about requests in flight.
	inFlightInterval = 150 * time.Millisecond
	// totalsBytesPerSecond is what a router may spend on passing on the sums of one
	// collector. It may be high in the trees of two.
	totalsBytesPerSecond = routerBytesPerSecond * 3 / 8
)

// totalsInterval returns the time from one message with the sums of so many targets to
// the next: shareInterval, or what sumsBytesPerSecond allows.
func totalsInterval(targets int) time.Duration {
	bytes := balance.RelayFanout * member.InFlightBytes(targets)
	return max(inFlightInterval, time.Duration(bytes)*time.Second/totalsBytesPerSecond)
}

// publishInFlight tells the collectors what is in flight here and, as one of them,
// the other routers what is in flight at all.
func (in *Routed) publishInFlight() {
	ticker := time.NewTicker(inFlightInterval)
	defer ticker.Stop()
	told := false
	var sumsDue time.Time
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-ticker.C:
		}
		collectors := balance.Collectors(in.members.Routers())
		told = in.publishLocal(collectors, told)
		isSelf := func(r *pb.RouterStatus) bool { return r.Id == in.cfg.ID }
		if now := time.Now(); !now.Before(sumsDue) && slices.ContainsFunc(collectors, isSelf) {
			sumsDue = now.Add(in.publishTotals())
		}
	}
}

// publishLocal tells the collectors of the requests in flight here. Of none it tells only
// once; told says whether there were any the last time.
func (in *Routed) publishLocal(collectors []*pb.RouterStatus, told bool) bool {
	counts := in.balancer.LocalCounts()
	if len(counts) > 0 || told {
		in.members.SendInFlight(in.peerAddrs(collectors), member.InFlight{Counts: orZeroCount(counts)})
	}
	return len(counts) > 0
}

// publishTotals passes the sums of this collector on and returns when to do so again.
func (in *Routed) publishTotals() time.Duration {
	sums := in.balancer.AggregateCounts()
	in.forwardTotals(member.InFlight{Counts: sums, Collector: in.cfg.ID})
	// Half an interval less, so that the tick at its end is not missed.
	return totalsInterval(len(sums)) - inFlightInterval/2
}

// forwardTotals tells the routers below this one in the collector's tree.
func (in *Routed) forwardTotals(totals member.InFlight) {
	if totals.Hops >= balance.MaxRelayHops {
		return
	}
	totals.Hops++
	below := balance.Relays(in.members.Routers(), totals.Collector, in.cfg.ID)
	if told := in.members.SendInFlight(in.peerAddrs(below), totals); told < len(below) {
		in.logger.Debug().Str("step", "share loads").Str("peer", totals.Collector).Int("told", told).Int("below", len(below)).
			Msg("the control budget leaves routers without the requests in flight")
	}
}

// orZeroCount has a router without requests say so.
func orZeroCount(counts map[uint32]int) map[uint32]int {
	if len(counts) == 0 {
		return map[uint32]int{0: 0}
	}
	return counts
}

// peerAddrs returns the peer addresses of other routers.
func (in *Routed) peerAddrs(routers []*pb.RouterStatus) []string {
	var addrs []string
	for _, r := range routers {
		if r.Id != in.cfg.ID {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

// handleInFlight takes what another router told, and passes a collector's sums on.
func (in *Routed) handleInFlight(router string, f member.InFlight) {
	switch {
	case in.balancer == nil:
	case f.Collector == "":
		in.balancer.ApplyCounts(router, f.Counts)
	case f.Collector != in.cfg.ID:
		in.balancer.ApplyTotals(f.Collector, f.Counts)
		in.forwardTotals(f)
	}
}
