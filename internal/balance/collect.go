package balance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// collectorCount is the number of routers that add up the others' counts. Each
	// router sends its own to them, and they send the sums to all, so that the
	// messages grow in proportion to the routers.
	collectorCount = 2
	// RelayFanout is the number of routers to which one router passes sums on.
	RelayFanout = 5
	// remoteCentreFanout is how many of them are in other data centres, at the router that
	// passes sums on to its own.
	remoteCentreFanout = 2
	// MaxRelayHops bounds how often sums are passed on, since routers whose views
	// differ may pass them round. Three data centres of 94 routers take four steps,
	// 16 of 112 eight.
	MaxRelayHops = 8
)

// ServingRouters returns the routers that serve callers and don't leave.
func ServingRouters(routers []*pb.RouterStatus) []*pb.RouterStatus {
	var serving []*pb.RouterStatus
	for _, r := range routers {
		if r.CallerAddr != "" && r.State == pb.RouterState_ROUTER_STATE_SERVING {
			serving = append(serving, r)
		}
	}
	return serving
}

// Collectors returns the routers that add up counts, of those that serve
// callers. All routers with the same view choose the same ones.
func Collectors(routers []*pb.RouterStatus) []*pb.RouterStatus {
	serving := ServingRouters(routers)
	rankRouters("collector", serving)
	return serving[:min(collectorCount, len(serving))]
}

// Relays returns the routers to which self passes on the sums of a collector. The
// routers that serve callers form a tree with the collector at its root, so that no
// link and no processor carries a message to each of them. One router of each data
// centre, its head, is told by another data centre's, and the others by those of their
// own: bytes between data centres cost most. The order differs by collector: a router
// that is missing in one tree is seldom above the same ones in the other.
func Relays(routers []*pb.RouterStatus, collector, self string) []*pb.RouterStatus {
	centres := relayTree(routers, collector)
	for i, centre := range centres {
		place := slices.IndexFunc(centre, func(r *pb.RouterStatus) bool { return r.Id == self })
		switch {
		case place > 0:
			first := RelayFanout - remoteCentreFanout + 1 + (place-1)*RelayFanout
			return subslice(centre, first, RelayFanout)
		case place == 0:
			below := slices.Clone(subslice(centre, 1, RelayFanout-remoteCentreFanout))
			for _, other := range subslice(centres, 1+i*remoteCentreFanout, remoteCentreFanout) {
				below = append(below, other[0])
			}
			return below
		}
	}
	return nil
}

// relayTree returns the routers that serve callers by data centre, the collector's
// first, and in each its head first; nil without the collector.
func relayTree(routers []*pb.RouterStatus, collector string) [][]*pb.RouterStatus {
	byCentre := make(map[string][]*pb.RouterStatus)
	var root *pb.RouterStatus
	for _, r := range routers {
		switch {
		case r.CallerAddr == "":
		case r.Id == collector:
			root = r
		default:
			byCentre[r.DataCentre] = append(byCentre[r.DataCentre], r)
		}
	}
	if root == nil {
		return nil
	}
	for _, centre := range byCentre {
		rankRouters(collector, centre)
	}
	first := append([]*pb.RouterStatus{root}, byCentre[root.DataCentre]...)
	delete(byCentre, root.DataCentre)
	names := slices.SortedFunc(maps.Keys(byCentre), func(a, b string) int {
		return cmp.Or(cmp.Compare(fleet.Score(collector, a), fleet.Score(collector, b)), cmp.Compare(a, b))
	})
	centres := [][]*pb.RouterStatus{first}
	for _, name := range names {
		centres = append(centres, byCentre[name])
	}
	return centres
}

// subslice returns up to n elements from a place on.
func subslice[T any](list []T, first, n int) []T {
	first = min(first, len(list))
	return list[first:min(first+n, len(list))]
}

// rankRouters sorts routers by rendezvous score for a key, the best first.
func rankRouters(key string, routers []*pb.RouterStatus) {
	scores := make(map[string]uint64, len(routers))
	for _, r := range routers {
		scores[r.Id] = fleet.Score(key, r.Id)
	}
	slices.SortFunc(routers, func(a, b *pb.RouterStatus) int {
		return cmp.Or(cmp.Compare(scores[b.Id], scores[a.Id]), cmp.Compare(a.Id, b.Id))
	})
}
