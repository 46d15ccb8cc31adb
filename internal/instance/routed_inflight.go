package instance

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// inFlightInterval is the time between two messages with in-flight counts.
	inFlightInterval = 150 * time.Millisecond
	// totalsBytesPerSecond is the part of a router's control budget for relaying the
	// totals of one collector. It is below one half, since a router may be near the root
	// of the relay trees of both collectors.
	totalsBytesPerSecond = routerBytesPerSecond * 3 / 8
)

// totalsInterval returns the time between two messages with the totals of a number of
// targets: inFlightInterval, or longer if totalsBytesPerSecond requires it.
func totalsInterval(targets int) time.Duration {
	bytes := balance.RelayFanout * member.InFlightBytes(targets)
	return max(inFlightInterval, time.Duration(bytes)*time.Second/totalsBytesPerSecond)
}

// publishInFlight periodically sends this router's in-flight counts to the collectors. If
// this router is a collector, it also sends the totals over all routers to the others.
func (in *Routed) publishInFlight() {
	ticker := time.NewTicker(inFlightInterval)
	defer ticker.Stop()
	published := false
	var totalsDue time.Time
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-ticker.C:
		}
		collectors := balance.Collectors(in.members.Routers())
		published = in.publishLocal(collectors, published)
		isSelf := func(r *pb.RouterStatus) bool { return r.Id == in.cfg.ID }
		if now := time.Now(); !now.Before(totalsDue) && slices.ContainsFunc(collectors, isSelf) {
			totalsDue = now.Add(in.publishTotals())
		}
	}
}

// publishLocal sends this router's in-flight counts to the collectors and reports whether
// there were any. After the last request ends, it sends one message without counts;
// published is the result of the previous call.
func (in *Routed) publishLocal(collectors []*pb.RouterStatus, published bool) bool {
	counts := in.balancer.LocalCounts()
	if len(counts) > 0 || published {
		in.members.SendInFlight(in.peerAddrs(collectors), member.InFlight{Counts: orZeroCount(counts)})
	}
	return len(counts) > 0
}

// publishTotals sends the totals of this collector down its relay tree and returns the
// time until the next call.
func (in *Routed) publishTotals() time.Duration {
	totals := in.balancer.AggregateCounts()
	in.forwardTotals(member.InFlight{Counts: totals, Collector: in.cfg.ID})
	// Half a tick less, so that the call is not delayed to the next tick if the ticker fires
	// early.
	return totalsInterval(len(totals)) - inFlightInterval/2
}

// forwardTotals sends a collector's totals to the children of this router in the
// collector's relay tree, unless the message has made MaxRelayHops hops.
func (in *Routed) forwardTotals(totals member.InFlight) {
	if totals.Hops >= balance.MaxRelayHops {
		return
	}
	totals.Hops++
	children := balance.Relays(in.members.Routers(), totals.Collector, in.cfg.ID)
	if sent := in.members.SendInFlight(in.peerAddrs(children), totals); sent < len(children) {
		in.logger.Debug().Str("step", "relay totals").Str("peer", totals.Collector).Int("told", sent).Int("below", len(children)).
			Msg("no budget to send the in-flight totals to all child routers")
	}
}

// orZeroCount returns counts or, if they are empty, a zero count for the key 0. Without
// any entry no message would be sent, and the collectors would use the last counts until
// they expire.
func orZeroCount(counts map[uint32]int) map[uint32]int {
	if len(counts) == 0 {
		return map[uint32]int{0: 0}
	}
	return counts
}

// peerAddrs returns the peer addresses of routers, without this one.
func (in *Routed) peerAddrs(routers []*pb.RouterStatus) []string {
	var addrs []string
	for _, r := range routers {
		if r.Id != in.cfg.ID {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

// handleInFlight applies the counts of another router or the totals of a collector.
// Totals are forwarded along the collector's relay tree.
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
