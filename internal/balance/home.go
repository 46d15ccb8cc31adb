package balance

import (
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/home"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// OwnerOf returns the router that admits requests without a prompt to a service, of
// those that serve callers; nil without routers. All routers with the same view
// choose the same one.
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

// AdmissionTargets lists the targets that can take a request without a prompt, the sound ones if
// there are any, in random order. Failing are other ones that serve some of their
// requests, for the time in which the first have all that they serve.
func (b *Balancer) AdmissionTargets(r Request) (open, failing []home.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.candidates(b.now(), r)
	pool := preferredPool(all)
	for _, c := range all {
		t := home.Target{Key: loadKey(c.status), Capacity: c.capacity}
		switch {
		case slices.Contains(pool, c):
			open = append(open, t)
		case c.eligible() && c.degraded:
			failing = append(failing, t)
		}
	}
	b.shuffle(open)
	b.shuffle(failing)
	return open, failing
}

func (b *Balancer) shuffle(targets []home.Target) {
	b.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
}

// Observe takes the outcome of another router's request at a target. A home hears of
// all, and so knows first of a target that fails.
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
