package balance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// collectorCount is the number of routers that sum the in-flight counts. Each
	// router sends its counts to the collectors, and each collector sends the sums to
	// all routers, so the number of messages grows linearly with the number of
	// routers.
	collectorCount = 2
	// RelayFanout is the maximum number of routers to which one router forwards the
	// sums.
	RelayFanout = 5
	// remoteCentreFanout is how many of the RelayFanout messages the first router of a
	// data centre sends to the first routers of other data centres.
	remoteCentreFanout = 2
	// MaxRelayHops bounds how often sums are forwarded, since routers with different
	// views could forward them in a loop. Three data centres of 94 routers each need
	// four hops, 16 data centres of 112 routers each need eight.
	MaxRelayHops = 8
)

// ServingRouters returns the routers that accept callers and are not draining.
func ServingRouters(routers []*pb.RouterStatus) []*pb.RouterStatus {
	var serving []*pb.RouterStatus
	for _, r := range routers {
		if r.CallerAddr != "" && r.State == pb.RouterState_ROUTER_STATE_SERVING {
			serving = append(serving, r)
		}
	}
	return serving
}

// Collectors returns the routers that sum the in-flight counts. Rendezvous hashing
// selects them from the serving routers, so all routers with the same view select the
// same ones.
func Collectors(routers []*pb.RouterStatus) []*pb.RouterStatus {
	return FirstServing("collector", routers, collectorCount)
}

// FirstServing returns the first n serving routers by rendezvous hashing of key.
func FirstServing(key string, routers []*pb.RouterStatus, n int) []*pb.RouterStatus {
	serving := ServingRouters(routers)
	sortByScore(key, serving)
	return serving[:min(n, len(serving))]
}

// RelayRecipients returns the routers to which self, as a relay, forwards the sums of a
// collector; nil if self or the collector is not among the routers that accept callers.
// These routers form a multicast tree with the collector at its root, so that no router
// and no link has to send a message to every router. The first router of each data centre
// receives the sums from the first router of another data centre. All others receive them
// within their data centre, because traffic between data centres costs most. The order of
// the routers in the tree depends on the collector, so a failed router rarely cuts off
// the same routers from both collectors.
func RelayRecipients(routers []*pb.RouterStatus, collector, self string) []*pb.RouterStatus {
	centres := relayGroups(routers, collector)
	for i, centre := range centres {
		index := slices.IndexFunc(centre, func(r *pb.RouterStatus) bool { return r.Id == self })
		switch {
		case index > 0:
			first := RelayFanout - remoteCentreFanout + 1 + (index-1)*RelayFanout
			return subslice(centre, first, RelayFanout)
		case index == 0:
			children := slices.Clone(subslice(centre, 1, RelayFanout-remoteCentreFanout))
			for _, other := range subslice(centres, 1+i*remoteCentreFanout, remoteCentreFanout) {
				children = append(children, other[0])
			}
			return children
		}
	}
	return nil
}

// relayGroups returns the routers that accept callers, grouped by data centre, in the
// order that defines the tree of RelayRecipients. The collector's group comes first, and
// the collector is the first of its group. relayGroups returns nil if the collector is
// not among these routers.
func relayGroups(routers []*pb.RouterStatus, collector string) [][]*pb.RouterStatus {
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
		sortByScore(collector, centre)
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

// subslice returns at most n elements of list, starting at index first. It returns fewer
// or none if the list is shorter.
func subslice[T any](list []T, first, n int) []T {
	first = min(first, len(list))
	return list[first:min(first+n, len(list))]
}

// sortByScore sorts routers by their rendezvous score for key, the highest first.
func sortByScore(key string, routers []*pb.RouterStatus) {
	scores := make(map[string]uint64, len(routers))
	for _, r := range routers {
		scores[r.Id] = fleet.Score(key, r.Id)
	}
	slices.SortFunc(routers, func(a, b *pb.RouterStatus) int {
		return cmp.Or(cmp.Compare(scores[b.Id], scores[a.Id]), cmp.Compare(a.Id, b.Id))
	})
}
