package balance

import (
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/home"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// HomeOf returns the router that admits requests without a prompt to a service, of
// those that serve callers; nil without routers. All routers with the same view
// choose the same one.
func HomeOf(routers []*pb.RouterStatus, service string) *pb.RouterStatus {
	var best *pb.RouterStatus
	var most uint64
	for _, r := range Serving(routers) {
		score := fleet.Score(service, r.Id)
		if best == nil || score > most || score == most && r.Id < best.Id {
			best, most = r, score
		}
	}
	return best
}

// Open lists the targets that can take a request without a prompt, the sound ones if
// there are any, in random order.
func (b *Balancer) Open(r Request) []home.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open []home.Target
	for _, c := range plainPool(b.candidates(b.now(), r)) {
		open = append(open, home.Target{Key: loadKey(c.status), Capacity: c.capacity})
	}
	b.rng.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	return open
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
