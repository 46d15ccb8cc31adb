package routesync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// TestTableReachesAStartingFleet replays the start of 291 routers that ask nine
// replicas for a table of 32 KB, over links of 3 and 10 Mbit/s that all senders of an
// instance share: all have it within two of the three seconds after which such a fleet
// must serve again. Without bounds on what is sent at once, 224 have it after ten.
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
		// link is in bytes a second; sending are the bytes left for each receiver.
		link    int
		rate    int
		sending map[int]int
		// askAt is when it asks next.
		askAt time.Time
	}
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	all := make([]*instance, replicas+routers)
	for i := range all {
		all[i] = &instance{link: routerLink, rate: routerBytesPerSecond, sending: make(map[int]int), askAt: start}
		if i < replicas {
			all[i] = &instance{link: replicaLink, rate: replicaBytesPerSecond, sending: make(map[int]int), has: true}
		}
	}
	ask := func(now time.Time, asker int) {
		all[asker].askAt = now.Add(compareInterval)
		at := rng.IntN(replicas)
		for range maxFetchHops {
			to := all[at]
			if !to.has {
				return
			}
			if through, ok := to.allow(now, tableBytes, to.rate); ok {
				to.sending[asker] = tableBytes
				to.addReceiver(receiver{addr: fmt.Sprint(asker), availableFrom: through})
				all[asker].askAt = now.Add(callTimeout)
				return
			}
			other := to.pickReceiver(now, fmt.Sprint(asker), rng.IntN)
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
			if !all[i].has && !now.Before(all[i].askAt) {
				ask(now, i)
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

// TestLargeTableReachesRouters has six routers fetch a large table at about the same
// moment from the one replica that they know: each has it, from there or from another.
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
		t.Fatalf("the table of the test has %d bytes packed, want more than %d", len(packed.Document), largeTableBytes)
	}
}

func TestHandout(t *testing.T) {
	start := time.Unix(1000, 0)
	first := func(int) int { return 0 }
	h := transferLimiter{}
	through, ok := h.allow(start, 1000, 1000)
	if !ok || !through.Equal(start.Add(time.Second)) {
		t.Errorf("the first table: %v, through at %v", ok, through)
	}
	if _, ok := h.allow(start.Add(999*time.Millisecond), 1, 1000); ok {
		t.Error("a second table is sent before the first is through")
	}
	h.addReceiver(receiver{addr: "a", availableFrom: through})
	for _, c := range []struct {
		now   time.Time
		asker string
		want  string
	}{
		{start, "b", ""},
		{through, "a", ""},
		{through, "b", "a"},
	} {
		if got := h.pickReceiver(c.now, c.asker, first); got != c.want {
			t.Errorf("asked by %s at %v: %q, want %q", c.asker, c.now.Sub(start), got, c.want)
		}
	}
	for i := range 2 * maxReceivers {
		h.addReceiver(receiver{addr: fmt.Sprint(i % (maxReceivers + 1)), availableFrom: start})
	}
	if len(h.receivers) != maxReceivers {
		t.Errorf("%d receivers are remembered, want %d", len(h.receivers), maxReceivers)
	}
	h.reset()
	if got := h.pickReceiver(through, "b", first); got != "" {
		t.Errorf("after a new table: %q", got)
	}
}

// TestPaceOfTheFirstTable has an instance wait for its first table: it looks again soon
// while nobody has one, and asks less and less often while others are handed it first.
func TestPaceOfTheFirstTable(t *testing.T) {
	var p initialBackoff
	for range 100 {
		if got := p.nextDelay(false, 0.9); got != initialCompareInterval {
			t.Fatalf("nobody has a table: next look after %v", got)
		}
	}
	total := time.Duration(0)
	for i := range 20 {
		pause := p.nextDelay(true, float64(i%10)/10)
		if pause < initialCompareInterval/2 || pause > compareInterval*3/2 {
			t.Errorf("ask %d: next after %v", i, pause)
		}
		if total += pause; i == 2 && total > 2*compareInterval {
			t.Errorf("three asks take %v", total)
		}
	}
	if total < 10*compareInterval {
		t.Errorf("20 asks in %v", total)
	}
}
