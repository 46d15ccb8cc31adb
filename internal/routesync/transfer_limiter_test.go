package routesync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// TestTableReachesAStartingFleet simulates the start of 291 routers that request a
// table of 32 KB from nine replicas. The links of replicas carry 3 Mbit/s and those
// of routers 10 Mbit/s, shared by all transfers of a sender. All routers must have
// the table within two of the three seconds after which such a fleet must serve
// again. Without a limit on concurrent transfers, 224 routers have it after ten
// seconds.
func TestTableReachesAStartingFleet(t *testing.T) {
	const (
		replicas, routers = 9, 291
		tableBytes        = 32 << 10
		replicaLink       = 3_000_000 / 8
		routerLink        = 10_000_000 / 8
		tick              = 5 * time.Millisecond
		bound             = 2 * time.Second
	)
	type instance struct {
		transferLimiter
		has bool
		// link is in bytes per second; sending is the number of bytes left for each
		// receiver.
		link    int
		rate    int
		sending map[int]int
		// nextRequest is the time of the next request of this instance.
		nextRequest time.Time
	}
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	all := make([]*instance, replicas+routers)
	for i := range all {
		all[i] = &instance{link: routerLink, rate: routerBytesPerSecond, sending: make(map[int]int), nextRequest: start}
		if i < replicas {
			all[i] = &instance{link: replicaLink, rate: replicaBytesPerSecond, sending: make(map[int]int), has: true}
		}
	}
	request := func(now time.Time, requester int) {
		all[requester].nextRequest = now.Add(compareInterval)
		at := rng.IntN(replicas)
		for range maxFetchHops {
			to := all[at]
			if !to.has {
				return
			}
			if completeAt, ok := to.allow(now, tableBytes, to.rate); ok {
				to.sending[requester] = tableBytes
				to.addReceiver(receiver{addr: fmt.Sprint(requester), availableFrom: completeAt})
				all[requester].nextRequest = now.Add(callTimeout)
				return
			}
			other := to.pickReceiver(now, fmt.Sprint(requester), rng.IntN)
			if other == "" {
				return
			}
			fmt.Sscan(other, &at)
		}
	}
	complete := 0
	now := start
	for ; complete < routers && now.Before(start.Add(10*time.Second)); now = now.Add(tick) {
		for i := replicas; i < len(all); i++ {
			if !all[i].has && !now.Before(all[i].nextRequest) {
				request(now, i)
			}
		}
		for _, sender := range all {
			share := int(float64(sender.link)*tick.Seconds()) / max(1, len(sender.sending))
			for to := range sender.sending {
				if sender.sending[to] -= share; sender.sending[to] <= 0 {
					delete(sender.sending, to)
					all[to].has = true
					complete++
				}
			}
		}
	}
	if took := now.Sub(start); complete < routers || took > bound {
		t.Errorf("%d of %d routers have the table after %v, want all within %v", complete, routers, took, bound)
	}
}

// TestLargeTableReachesRouters has six routers fetch a large table almost at once
// from the only replica that they know. Each must receive it, from the replica or
// from another router.
func TestLargeTableReachesRouters(t *testing.T) {
	replica := startInstance(t, "replica", true)
	replica.commit(t, 7, 0)
	at := &pb.RouterStatus{Id: "replica", PeerAddr: replica.members.self.PeerAddr, Replica: true, RoutingTable: 7}
	var routers []*instance
	for i := range 6 {
		router := startInstance(t, fmt.Sprint("router-", i), false)
		router.members.setPeers(at)
		routers = append(routers, router)
	}
	for _, r := range routers {
		r.holds(t, 7)
	}
	packed, err := heldTable{text: testkit.LargeTable(7)}.packFull()
	if err != nil {
		t.Fatal(err)
	}
	if len(packed.Document) <= largeTableBytes {
		t.Fatalf("the test table has %d bytes when packed, want more than %d", len(packed.Document), largeTableBytes)
	}
}

// TestTransferLimiter checks that a second transfer waits for the first, and that
// only other instances which already have the current table are returned as
// receivers.
func TestTransferLimiter(t *testing.T) {
	start := time.Unix(1000, 0)
	first := func(int) int { return 0 }
	limiter := transferLimiter{}
	completeAt, ok := limiter.allow(start, 1000, 1000)
	if !ok || !completeAt.Equal(start.Add(time.Second)) {
		t.Errorf("the first transfer: allowed %v, complete at %v", ok, completeAt)
	}
	if _, ok := limiter.allow(start.Add(999*time.Millisecond), 1, 1000); ok {
		t.Error("a second transfer is allowed before the first is complete")
	}
	limiter.addReceiver(receiver{addr: "a", availableFrom: completeAt})
	for _, c := range []struct {
		now       time.Time
		requester string
		want      string
	}{
		{start, "b", ""},
		{completeAt, "a", ""},
		{completeAt, "b", "a"},
	} {
		if got := limiter.pickReceiver(c.now, c.requester, first); got != c.want {
			t.Errorf("request of %s at %v: %q, want %q", c.requester, c.now.Sub(start), got, c.want)
		}
	}
	for i := range 2 * maxReceivers {
		limiter.addReceiver(receiver{addr: fmt.Sprint(i % (maxReceivers + 1)), availableFrom: start})
	}
	if len(limiter.receivers) != maxReceivers {
		t.Errorf("%d receivers are recorded, want %d", len(limiter.receivers), maxReceivers)
	}
	limiter.reset()
	if got := limiter.pickReceiver(completeAt, "b", first); got != "" {
		t.Errorf("after a new table: %q", got)
	}
}

// TestPaceOfTheFirstTable checks the delays of an instance that waits for its first
// table: short while no other instance has one, and growing with each request that
// was redirected or rejected because other instances receive the table first.
func TestPaceOfTheFirstTable(t *testing.T) {
	var backoff initialBackoff
	for range 100 {
		if got := backoff.nextDelay(false, 0.9); got != initialCompareInterval {
			t.Fatalf("no instance has a table: next comparison after %v", got)
		}
	}
	total := time.Duration(0)
	for i := range 20 {
		delay := backoff.nextDelay(true, float64(i%10)/10)
		if delay < initialCompareInterval/2 || delay > compareInterval*3/2 {
			t.Errorf("request %d: next one after %v", i, delay)
		}
		if total += delay; i == 2 && total > 2*compareInterval {
			t.Errorf("three requests take %v", total)
		}
	}
	if total < 10*compareInterval {
		t.Errorf("20 requests in %v", total)
	}
}
