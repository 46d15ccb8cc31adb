package balance

import (
	"cmp"
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// collectors is the number of routers that add up the others' counts. Each
	// router sends its own to them, and they send the sums to all, so that the
	// messages grow in proportion to the routers.
	collectors = 2
	// RelayFanout is the number of routers to which one router passes sums on.
	RelayFanout = 5
	// MaxRelaySteps bounds how often sums are passed on, since routers whose views
	// differ may pass them round. Three steps reach 155 routers, four 780.
	MaxRelaySteps = 4
)

// Serving returns the routers that serve callers and don't leave.
func Serving(routers []*pb.RouterStatus) []*pb.RouterStatus {
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
	serving := Serving(routers)
	rankRouters("collector", serving)
	return serving[:min(collectors, len(serving))]
}

// Relays returns the routers to which self passes on the sums of a collector. The
// routers that serve callers form a tree with the collector at its root, so that no
// link and no processor carries a message to each of them. Its order differs by
// collector: a router that is missing in one tree is seldom above the same ones in
// the other.
func Relays(routers []*pb.RouterStatus, collector, self string) []*pb.RouterStatus {
	var tree []*pb.RouterStatus
	for _, r := range routers {
		if r.CallerAddr != "" && r.Id != collector {
			tree = append(tree, r)
		}
	}
	rankRouters(collector, tree)
	// The collector has place 0; the routers below place p begin at p*RelayFanout+1.
	place := 0
	if self != collector {
		place = 1 + slices.IndexFunc(tree, func(r *pb.RouterStatus) bool { return r.Id == self })
		if place == 0 {
			return nil
		}
	}
	first := min(place*RelayFanout, len(tree))
	return tree[first:min(first+RelayFanout, len(tree))]
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
