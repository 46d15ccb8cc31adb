package balance

import "github.com/wigeonwood/wigeonwood/internal/overload"

// ServiceTargets returns the load of the healthy targets that accept r and have a known number of
// slots, for the decision whether the service takes a new request.
func (b *Balancer) ServiceTargets(r Request) []overload.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var targets []overload.Target
	for _, c := range b.candidates(b.now(), r) {
		if !c.eligible() || !c.healthy || c.capacity == unlimitedCapacity {
			continue
		}
		t := b.target(b.now(), c.status)
		targets = append(targets, overload.Target{
			Key: LoadKey(c.status), ID: c.status.Id, InFlight: c.inFlight, Own: t.inFlight, Slots: c.capacity,
		})
	}
	return targets
}
