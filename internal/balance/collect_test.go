package balance

import (
	"fmt"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func serving(n, dataCentres int) []*pb.RouterStatus {
	var routers []*pb.RouterStatus
	for i := range n {
		routers = append(routers, &pb.RouterStatus{Id: fmt.Sprint("r", i), CallerAddr: "a", State: pb.RouterState_ROUTER_STATE_SERVING, DataCentre: fmt.Sprint("dc-", i%dataCentres)})
	}
	return routers
}

// TestRelaysReachAll checks that the sums of each collector reach every router exactly
// once within MaxRelayHops, with at most RelayFanout messages from each router and one
// message to each other data centre.
func TestRelaysReachAll(t *testing.T) {
	for _, c := range []struct{ routers, dataCentres int }{
		{1, 1}, {2, 1}, {9, 3}, {10, 1}, {64, 3}, {83, 3}, {300, 3}, {300, 1}, {1800, 16},
	} {
		routers := serving(c.routers, c.dataCentres)
		for _, collector := range Collectors(routers) {
			reached := map[string]int{collector.Id: 1}
			senders := []*pb.RouterStatus{collector}
			across := 0
			for range MaxRelayHops {
				var next []*pb.RouterStatus
				for _, from := range senders {
					children := RelayRecipients(routers, collector.Id, from.Id)
					if len(children) > RelayFanout {
						t.Errorf("%v: %s sends %d messages, want at most %d", c, from.Id, len(children), RelayFanout)
					}
					for _, to := range children {
						reached[to.Id]++
						if to.DataCentre != from.DataCentre {
							across++
						}
					}
					next = append(next, children...)
				}
				senders = next
			}
			for id, times := range reached {
				if times != 1 {
					t.Errorf("%v: %s receives %d messages of collector %s, want 1", c, id, times, collector.Id)
				}
			}
			if len(reached) != c.routers {
				t.Errorf("%v: %d routers are reached by collector %s", c, len(reached), collector.Id)
			}
			if across != c.dataCentres-1 {
				t.Errorf("%v: %d messages between data centres, want %d", c, across, c.dataCentres-1)
			}
		}
	}
}

// TestRelaysOfAnUnknownRouter checks that a router that is not in the tree, such as one
// that accepts no callers, forwards no sums.
func TestRelaysOfAnUnknownRouter(t *testing.T) {
	if children := RelayRecipients(serving(20, 3), "r1", "other"); len(children) > 0 {
		t.Errorf("%d routers are children of a router that is in no tree", len(children))
	}
}
