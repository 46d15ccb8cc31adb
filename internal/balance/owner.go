package balance

import (
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/slots"
)

// OwnerOf returns the router that admits the requests without a prompt of a service,
// selected from the routers that accept callers by rendezvous hashing; nil if there
// are none. All routers with the same view select the same one.
func OwnerOf(routers []*pb.RouterStatus, service string) *pb.RouterStatus {
	var best *pb.RouterStatus
	var most uint64
	for _, r := range ServingRouters(routers) {
		score := fleet.Score(service, r.Id)
		if best == nil || score > most || score == most && r.Id < best.Id {
			best, most = r, score
		}
	}
	return best
}

// AdmissionTargets lists the targets to which a request without a prompt can be
// admitted, in random order. open contains the healthy targets, or all eligible ones
// if none is healthy. degraded contains the other targets that still serve some of
// their requests; they are used while the open targets are full.
func (b *Balancer) AdmissionTargets(r Request) (open, degraded []slots.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.candidates(b.now(), r)
	pool := preferredPool(all)
	for _, c := range all {
		t := slots.Target{Key: loadKey(c.status), Capacity: c.capacity}
		switch {
		case slices.Contains(pool, c):
			open = append(open, t)
		case c.eligible() && c.degraded:
			degraded = append(degraded, t)
		}
	}
	b.shuffle(open)
	b.shuffle(degraded)
	return open, degraded
}

func (b *Balancer) shuffle(targets []slots.Target) {
	b.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
}

// Observe records the outcome of another router's request at the target with the given
// load key. The owner of a service receives the outcomes of all its requests and so
// detects a failing target first.
func (b *Balancer) Observe(key uint32, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, st := range b.view.Targets() {
		if loadKey(st) != key {
			continue
		}
		if t := b.targets[fleet.TargetKey(st.Id, st.Incarnation)]; t != nil {
			b.observe(t, st, o)
		}
		return
	}
}
