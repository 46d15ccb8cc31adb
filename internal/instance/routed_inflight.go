package instance

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// inFlightInterval is the time between two messages with the in-flight counts of a
	// router, and the minimum time between two messages with the totals.
	inFlightInterval = 150 * time.Millisecond
	// minPaceInterval is the minimum time between two messages that are sent because the pace
	// of a target has changed.
	minPaceInterval = 50 * time.Millisecond
	// totalsBytesPerSecond is the part of a router's control budget that is available for
	// relaying the totals of one collector. A collector is a router that sums the
	// in-flight counts of all routers. The part is below one half because there are two
	// collectors, and a router may be near the root of both relay trees.
	totalsBytesPerSecond = routerBytesPerSecond * 3 / 8
)

// totalsInterval returns the time between two messages with the totals, which depends on the
// number of targets that they cover and of limits beside them: inFlightInterval, or longer if
// totalsBytesPerSecond requires it.
func totalsInterval(targets, limits int) time.Duration {
	bytes := balance.RelayFanout * member.InFlightBytes(targets, limits)
	return max(inFlightInterval, time.Duration(bytes)*time.Second/totalsBytesPerSecond)
}

// publishInFlight periodically sends this router's in-flight counts to the collectors. If
// this router is a collector itself, publishInFlight also sends the totals over all routers
// down the relay tree. It returns when the instance closes.
func (in *Routed) publishInFlight() {
	ticker := time.NewTicker(inFlightInterval)
	defer ticker.Stop()
	published := false
	var totalsDue, paceSentAt time.Time
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-in.paceChanged:
			// Reports of paces are useful for some hundred ms, so a change does not wait for
			// the next tick. The other routers get it with the next totals.
			if now := time.Now(); now.Sub(paceSentAt) >= minPaceInterval {
				paceSentAt = now
				published = in.publishLocal(balance.Collectors(in.members.Routers()), published)
			}
			continue
		case <-ticker.C:
		}
		in.costs.unusual.Update(float64(in.balancer.UnusualPaces()))
		collectors := balance.Collectors(in.members.Routers())
		published = in.publishLocal(collectors, published)
		isSelf := func(r *pb.RouterStatus) bool { return r.Id == in.cfg.ID }
		if now := time.Now(); !now.Before(totalsDue) && slices.ContainsFunc(collectors, isSelf) {
			totalsDue = now.Add(in.publishTotals())
		}
	}
}

// publishLocal sends this router's in-flight counts to the collectors and reports whether
// any request was in flight. After the last request ends, publishLocal sends one message
// that says so, and nothing afterwards until there are reports of paces to send. published is
// the result of the previous call.
func (in *Routed) publishLocal(collectors []*pb.RouterStatus, published bool) bool {
	counts := in.balancer.LocalCounts()
	if len(counts) > 0 || published || in.balancer.HasUnsentPaces() {
		limits := in.picker.SeenLimits(false, member.MaxLimits(len(counts)))
		paces := in.seenPaces(false, len(counts), len(limits))
		in.members.SendInFlight(in.peerAddrs(collectors), member.InFlight{Counts: orZeroCount(counts), Limits: limits, Paces: paces})
	}
	return len(counts) > 0
}

// publishTotals sends the totals of this collector down its relay tree and returns the time
// until the next message is due.
func (in *Routed) publishTotals() time.Duration {
	totals := in.balancer.AggregateCounts()
	limits := in.picker.SeenLimits(true, member.MaxLimits(len(totals)))
	in.forwardTotals(member.InFlight{Counts: totals, Collector: in.cfg.ID, Limits: limits, Paces: in.seenPaces(true, len(totals), len(limits))})
	// Subtract half a tick. Otherwise a tick that fires slightly early would delay the
	// message to the tick after it.
	return totalsInterval(len(totals), len(limits)) - inFlightInterval/2
}

// forwardTotals sends a collector's totals to the children of this router in the
// collector's relay tree. It drops totals that MaxRelayHops routers have forwarded already,
// since routers with different views could forward them in a loop.
func (in *Routed) forwardTotals(totals member.InFlight) {
	if totals.Hops >= balance.MaxRelayHops {
		return
	}
	totals.Hops++
	children := balance.RelayRecipients(in.members.Routers(), totals.Collector, in.cfg.ID)
	if sent := in.members.SendInFlight(in.peerAddrs(children), totals); sent < len(children) {
		in.logger.Debug().Str("step", "relay totals").Str("peer", totals.Collector).Int("told", sent).Int("below", len(children)).
			Msg("no budget to send the in-flight totals to all child routers")
	}
}

// orZeroCount returns counts, which are numbers of requests by the load keys of targets. If
// there are none, orZeroCount returns a count of zero for the load key 0, which adds nothing
// to any target. Without any entry no message would be sent, and the collectors would use the
// previous counts until these expire.
func orZeroCount(counts map[uint32]int) map[uint32]int {
	if len(counts) == 0 {
		return map[uint32]int{0: 0}
	}
	return counts
}

// peerAddrs returns the peer addresses of routers, without the one of this instance.
func (in *Routed) peerAddrs(routers []*pb.RouterStatus) []string {
	var addrs []string
	for _, r := range routers {
		if r.Id != in.cfg.ID {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

// handleInFlight applies the counts of another router or the totals of a collector, and
// forwards totals down the collector's relay tree. An instance that is not a router ignores
// both.
func (in *Routed) handleInFlight(router string, f member.InFlight) {
	switch {
	case in.picker == nil:
	case f.Collector == "":
		in.balancer.ApplyCounts(router, f.Part, f.Counts)
		in.picker.LearnLimits(router, f.Limits)
		in.balancer.LearnPaces(f.Paces)
	case f.Collector != in.cfg.ID:
		in.balancer.ApplyTotals(f.Collector, f.Counts)
		in.picker.LearnLimits(f.Collector, f.Limits)
		in.balancer.LearnPaces(f.Paces)
		in.forwardTotals(f)
	}
}
