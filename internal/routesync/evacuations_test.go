package routesync

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

func evacuationSet(revision uint64, names ...string) *pb.Evacuations {
	set := &pb.Evacuations{Revision: revision}
	for _, name := range names {
		set.Evacuated = append(set.Evacuated, &pb.Evacuation{DataCentre: name})
	}
	return set
}

func (in *instance) evacuates(t *testing.T, revision uint64, dataCentre string) {
	t.Helper()
	testkit.Eventually(t, fmt.Sprintf("%s has evacuations %d", in.members.self.Id, revision), func() bool {
		return in.Evacuations().GetRevision() == revision && in.Evacuated(dataCentre)
	})
}

// An evacuation must reach a router without a new routing table, both by push and, if the
// push is lost, by fetch, and a late message with an older set must not undo it.
func TestEvacuationsArePushedAndFetched(t *testing.T) {
	replica, pushed, fetching := startInstance(t, "replica", true), startInstance(t, "pushed", false), startInstance(t, "fetching", false)
	replica.members.setPeers(&pb.RouterStatus{Id: "pushed", PeerAddr: pushed.members.self.PeerAddr})
	replica.EvacuationsCommitted(evacuationSet(3, "a", "b"))
	if !replica.Evacuated("b") {
		t.Error("the set is not in force at the replica at once")
	}
	pushed.evacuates(t, 3, "a")
	fetching.members.setPeers(
		&pb.RouterStatus{Id: "old", PeerAddr: "127.0.0.1:1", Evacuations: 2},
		&pb.RouterStatus{Id: "pushed", PeerAddr: pushed.members.self.PeerAddr, Evacuations: 3},
	)
	fetching.evacuates(t, 3, "b")
	ack, err := fetching.handlePush(t.Context(), &pb.RoutingPush{Evacuations: evacuationSet(2, "c")})
	if err != nil || ack.Evacuations != 3 || fetching.Evacuated("c") {
		t.Errorf("after an older set: %v, %v, set %v", ack, err, fetching.Evacuations())
	}
}

// A router that starts must not serve by its first table before it has the set, whether it
// fetches the table or receives it by push.
func TestFirstTableComesWithEvacuations(t *testing.T) {
	for _, way := range []string{"fetch", "push", "table without the set"} {
		t.Run(way, func(t *testing.T) {
			replica, other, router := startInstance(t, "replica", true), startInstance(t, "other", false), startInstance(t, "router", false)
			replica.EvacuationsCommitted(evacuationSet(1, "a"))
			replica.commit(t, 7, 0)
			other.commit(t, 7, 0)
			atReplica := &pb.RouterStatus{Id: "replica", PeerAddr: replica.members.self.PeerAddr, Replica: true, RoutingTable: 7}
			switch way {
			case "fetch":
				router.members.setPeers(atReplica)
			case "push":
				replica.members.setPeers(&pb.RouterStatus{Id: "router", PeerAddr: router.members.self.PeerAddr})
				replica.commit(t, 8, 7)
			default:
				// Routers are the preferred sources of tables. This one lacks the set.
				atReplica.Evacuations = 1
				router.members.setPeers(atReplica, &pb.RouterStatus{Id: "other", PeerAddr: other.members.self.PeerAddr, RoutingTable: 7})
			}
			for deadline := time.Now().Add(5 * time.Second); router.cfg.Holder.Number() == 0; time.Sleep(100 * time.Microsecond) {
				if time.Now().After(deadline) {
					t.Fatal("the router has no table")
				}
			}
			if !router.Evacuated("a") {
				t.Error("the first table is active without the set")
			}
		})
	}
}

// The callback must see each change once and in order, with the sets before and after, also
// if sets arrive concurrently from several instances: cold targets are planned from it.
func TestCallbackSeesEndedEvacuations(t *testing.T) {
	in := startInstance(t, "router", false)
	var revisions []uint64
	var ended []string
	in.cfg.OnEvacuations = func(before, after *pb.Evacuations) {
		if before.GetRevision() >= after.Revision {
			t.Errorf("revision %d after %d", after.Revision, before.GetRevision())
		}
		revisions = append(revisions, after.Revision)
		ended = append(ended, EndedEvacuations(before, after)...)
	}
	in.applyEvacuations(evacuationSet(1, "a", "b", "c"), "x")
	in.applyEvacuations(evacuationSet(2, "b", "d"), "x")
	if !slices.Equal(ended, []string{"a", "c"}) {
		t.Errorf("ended %v, want a and c", ended)
	}
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			for r := uint64(1); r < 50; r++ {
				in.applyEvacuations(evacuationSet(r), "x")
			}
		})
	}
	senders.Wait()
	if !slices.IsSorted(revisions) || revisions[len(revisions)-1] != 49 || len(slices.Compact(revisions)) != len(revisions) {
		t.Errorf("revisions %v", revisions)
	}
}
