package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// HeldSlot is a place that a request of another router holds. Without a target
// the request is known there and its answer is not.
type HeldSlot struct {
	ID       ID
	Target   string
	Customer string
	// Weight is the customer's share by contract.
	Weight  uint32
	Model   string
	Service string
}

// Adopt counts a place that another home granted, also at a target that is
// silent now and may return. It tells whether the place is counted now.
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
	if l, ok := p.lanes[LaneName(r.Model, r.Service)]; ok {
		g.lane = l
		g.share = l.recordRequest(now, &r)
	}
	p.addGrant(now, h.ID, g)
	if g.share != nil {
		// What the customer used before is not known here: as much as now.
		g.share.average = max(g.share.average, float64(g.share.inFlight))
	}
	return true
}

// Reconcile brings the places of one router's incarnation in line with what it
// holds: those up to the given number that it does not list are released,
// listed ones that are missing are adopted.
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

// ReleaseAbsentRouters releases what is held by routers that are not alive.
func (p *Pool) ReleaseAbsentRouters(now time.Time, alive func(ID) bool) []Result {
	return p.releaseMatching(now, func(id ID) bool { return !alive(id) })
}

func (p *Pool) releaseMatching(now time.Time, which func(ID) bool) []Result {
	var released []ID
	for id := range p.grants {
		if which(id) {
			released = append(released, id)
		}
	}
	for id := range p.waitersByRequest {
		if which(id) {
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
