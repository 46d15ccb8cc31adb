package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// HeldSlot is a slot that one of the requests of a router holds, as the router
// reports it. Target is empty while the router waits for the owner's reply to the
// request.
type HeldSlot struct {
	ID       ID
	Target   string
	Customer string
	// Weight is the customer's weight from its contract.
	Weight  uint32
	Model   string
	Service string
}

// Adopt counts a slot that was granted by another owner of the group, such as the
// previous one. Adopt also counts a slot at an unknown target, since the target
// may be absent only for a short time. Adopt reports whether the pool counts the
// slot now.
func (p *Pool) Adopt(now time.Time, h HeldSlot) bool {
	if _, ok := p.grants[h.ID]; ok {
		return true
	}
	if h.Target == "" {
		return false
	}
	t, ok := p.targets[h.Target]
	if !ok {
		t = &target{Target: Target{ID: h.Target}, hash: placement.HashEngine(h.Target), absentSince: now}
		p.targets[h.Target] = t
	}
	g := &grant{target: t}
	r := Request{ID: h.ID, Customer: h.Customer, Weight: h.Weight, Model: h.Model, Service: h.Service}
	// Without a lane, the slot counts at the target but not in a share.
	if l, ok := p.lanes[LaneName(r.Model, r.Service)]; ok {
		g.lane = l
		g.share = l.recordRequest(now, &r)
	}
	p.addGrant(now, h.ID, g)
	if g.share != nil {
		// The customer's earlier usage is unknown to this pool. Assume that it
		// was at least as high as now.
		g.share.average = max(g.share.average, float64(g.share.inFlight))
	}
	return true
}

// Reconcile aligns the slots that the pool counts for one incarnation of a router
// with the list of the slots that the router holds. Reconcile adopts listed slots
// that the pool does not count. It releases slots and queued requests that are
// not listed, if their number is at most upTo. Requests with higher numbers began
// after the router made the list.
func (p *Pool) Reconcile(now time.Time, router string, incarnation, upTo uint64, held []HeldSlot) []Result {
	listed := make(map[ID]bool, len(held))
	for _, h := range held {
		listed[h.ID] = true
		p.Adopt(now, h)
	}
	return p.releaseMatching(now, func(id ID) bool {
		return id.Router == router && id.Incarnation == incarnation && id.Number <= upTo && !listed[id]
	})
}

// ReleaseAbsentRouters releases the slots and queued requests for which alive
// returns false. The function alive reports whether the incarnation of the router
// in an ID is still alive.
func (p *Pool) ReleaseAbsentRouters(now time.Time, alive func(ID) bool) []Result {
	return p.releaseMatching(now, func(id ID) bool { return !alive(id) })
}

func (p *Pool) releaseMatching(now time.Time, match func(ID) bool) []Result {
	var released []ID
	for id := range p.grants {
		if match(id) {
			released = append(released, id)
		}
	}
	for id := range p.waitersByRequest {
		if match(id) {
			released = append(released, id)
		}
	}
	slices.SortFunc(released, func(a, b ID) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Number, b.Number))
	})
	var results []Result
	for _, id := range released {
		results = append(results, p.Release(now, id)...)
	}
	return results
}
