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

// TestRelaysReachAll has the sums of each collector reach every router once, in few
// steps, with few messages at each router and one to each other data centre.
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
					below := Relays(routers, collector.Id, from.Id)
					if len(below) > RelayFanout {
						t.Errorf("%v: %s sends %d messages, want at most %d", c, from.Id, len(below), RelayFanout)
					}
					for _, to := range below {
						reached[to.Id]++
						if to.DataCentre != from.DataCentre {
							across++
						}
					}
					next = append(next, below...)
				}
				senders = next
			}
			for id, times := range reached {
				if times != 1 {
					t.Errorf("%v: %s is told %d times by %s", c, id, times, collector.Id)
				}
			}
			if len(reached) != c.routers {
				t.Errorf("%v: %d routers are told by %s", c, len(reached), collector.Id)
			}
			if across != c.dataCentres-1 {
				t.Errorf("%v: %d messages between data centres, want %d", c, across, c.dataCentres-1)
			}
		}
	}
}

// TestRelaysOfAnUnknownRouter has a router that is not in the view, such as one that
// serves no callers, pass nothing on.
func TestRelaysOfAnUnknownRouter(t *testing.T) {
	if below := Relays(serving(20, 3), "r1", "other"); len(below) > 0 {
		t.Errorf("%d routers below a router that is in no tree", len(below))
	}
}
