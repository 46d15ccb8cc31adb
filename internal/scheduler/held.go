package scheduler

import (
	"maps"
	"slices"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// emptyReconciliations is how many confirmations name a group in which nothing is
// held any more. An older list of held places may arrive after the first one.
const emptyReconciliations = 2

// heldSlots are the requests that this router has brought and that hold a place,
// or may hold one because the home's answer is not known yet.
type heldSlots struct {
	mu         sync.Mutex
	lastNumber uint64
	byGroup    map[string]*groupSlots
}

// groupSlots are the places in one group.
type groupSlots struct {
	held map[uint64]*pb.HeldPlace
	// lastNumber is the last number given out in the group.
	lastNumber uint64
	// emptySent counts the confirmations since nothing is held.
	emptySent int
}

func newHeldSlots() *heldSlots {
	return &heldSlots{byGroup: make(map[string]*groupSlots)}
}

// register notes a request whose answer is not known, and numbers it.
func (p *heldSlots) register(group string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	g, ok := p.byGroup[group]
	if !ok {
		g = &groupSlots{held: make(map[uint64]*pb.HeldPlace)}
		p.byGroup[group] = g
	}
	g.held[p.lastNumber] = &pb.HeldPlace{Number: p.lastNumber}
	g.lastNumber = p.lastNumber
	g.emptySent = 0
	return p.lastNumber
}

// set notes the place that a request got.
func (p *heldSlots) set(group string, place *pb.HeldPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byGroup[group].held[place.Number] = place
}

// remove forgets a request.
func (p *heldSlots) remove(group string, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.byGroup[group]; ok {
		delete(g.held, number)
	}
}

// noLongerHeld returns the numbers of those listed places that are held no longer.
func (p *heldSlots) noLongerHeld(group string, listed []*pb.HeldPlace) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var numbers []uint64
	for _, place := range listed {
		if g, ok := p.byGroup[group]; !ok || g.held[place.Number] == nil {
			numbers = append(numbers, place.Number)
		}
	}
	return numbers
}

// list returns all that is held in a group.
func (p *heldSlots) list(group string) (upTo uint64, held []*pb.HeldPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.byGroup[group]; ok {
		for _, place := range g.held {
			held = append(held, place)
		}
	}
	return p.lastNumber, held
}

// groupsToReconcile returns the groups to be confirmed to their homes: those in which
// anything is held or the home may not know that nothing is.
func (p *heldSlots) groupsToReconcile() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.byGroup))
}

// reconciled notes that the home took a list of this many places, made when
// upTo was the last number.
func (p *heldSlots) reconciled(group string, upTo uint64, listed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.byGroup[group]
	if !ok || listed > 0 || g.lastNumber > upTo {
		return
	}
	g.emptySent++
	if g.emptySent >= emptyReconciliations {
		delete(p.byGroup, group)
	}
}
