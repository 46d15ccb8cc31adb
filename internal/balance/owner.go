package balance

import (
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/slots"
)

// OwnerOf returns the owner of a service, the router that admits the service's requests
// without a prompt for all routers. Rendezvous hashing selects it from the serving
// routers, so all routers with the same view select the same one. OwnerOf returns nil if
// there are no serving routers.
func OwnerOf(routers []*pb.RouterStatus, service string) *pb.RouterStatus {
	var best *pb.RouterStatus
	var bestScore uint64
	for _, r := range ServingRouters(routers) {
		score := fleet.Score(service, r.Id)
		if best == nil || score > bestScore || score == bestScore && r.Id < best.Id {
			best, bestScore = r, score
		}
	}
	return best
}

// AdmissionTargets returns the targets to which a request without a prompt can be
// admitted, in random order. The open targets are the healthy ones, or all eligible ones
// if none is healthy. The degraded targets are others that still serve some of their
// requests; they are used while the open targets are full.
func (b *Balancer) AdmissionTargets(r Request) (open, degraded []slots.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.candidates(b.now(), r)
	pool := preferredPool(all)
	for _, c := range all {
		t := slots.Target{Key: LoadKey(c.status), Capacity: c.capacity}
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

// Target returns the target with the given load key, nil if the view has none.
func (b *Balancer) Target(key uint32) *pb.TargetStatus {
	for _, st := range b.view.Targets() {
		if LoadKey(st) == key {
			return st
		}
	}
	return nil
}

// Observe records the outcome of another router's request at the target with the given
// load key. The owner of a service receives the outcomes of all requests that it admits,
// so it detects a failing target earlier than a router that sees only its own requests.
func (b *Balancer) Observe(key uint32, o Outcome) {
	st := b.Target(key)
	if st == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[fleet.TargetKey(st.Id, st.Incarnation)]; t != nil {
		b.observe(t, st, o)
	}
}
