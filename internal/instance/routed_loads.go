package instance

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// shareInFlight tells the collectors what is in flight here and, as one of them,
// the other routers what is in flight at all.
func (in *Routed) shareInFlight() {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	told := false
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-ticker.C:
		}
		collectors := balance.Collectors(in.members.Routers())
		counts := in.balancer.OwnCounts()
		if len(counts) > 0 || told {
			in.members.SendInFlight(in.peerAddrs(collectors), member.InFlight{Counts: nonEmpty(counts)})
		}
		told = len(counts) > 0
		for _, c := range collectors {
			if c.Id == in.cfg.ID {
				in.members.SendInFlight(in.callerPeers(), member.InFlight{Counts: in.balancer.Sums(), Totals: true})
			}
		}
	}
}

// nonEmpty has a router without requests say so.
func nonEmpty(counts map[uint32]int) map[uint32]int {
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

// callerPeers returns the peer addresses of the other routers that serve
// callers.
func (in *Routed) callerPeers() []string {
	var addrs []string
	for _, r := range in.members.Routers() {
		if r.CallerAddr != "" && r.Id != in.cfg.ID {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

func (in *Routed) inFlightTold(router string, f member.InFlight) {
	switch {
	case in.balancer == nil:
	case f.Totals:
		in.balancer.TakeTotals(router, f.Counts)
	default:
		in.balancer.TakeCounts(router, f.Counts)
	}
}
