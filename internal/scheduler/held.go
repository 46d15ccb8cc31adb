package scheduler

import (
	"maps"
	"slices"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// emptyConfirmations is how many confirmations name a group in which nothing is
// held any more. An older list of held places may arrive after the first one.
const emptyConfirmations = 2

// places are the requests that this router has brought and that hold a place,
// or may hold one because the home's answer is not known yet.
type places struct {
	mu      sync.Mutex
	last    uint64
	byGroup map[string]*groupPlaces
}

// groupPlaces are the places in one group.
type groupPlaces struct {
	held map[uint64]*pb.HeldPlace
	// latest is the last number given out in the group.
	latest uint64
	// empty counts the confirmations since nothing is held.
	empty int
}

func newPlaces() *places {
	return &places{byGroup: make(map[string]*groupPlaces)}
}

// begin notes a request whose answer is not known, and numbers it.
func (p *places) begin(group string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	g, ok := p.byGroup[group]
	if !ok {
		g = &groupPlaces{held: make(map[uint64]*pb.HeldPlace)}
		p.byGroup[group] = g
	}
	g.held[p.last] = &pb.HeldPlace{Number: p.last}
	g.latest = p.last
	g.empty = 0
	return p.last
}

// set notes the place that a request got.
func (p *places) set(group string, place *pb.HeldPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byGroup[group].held[place.Number] = place
}

// end forgets a request.
func (p *places) end(group string, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.byGroup[group]; ok {
		delete(g.held, number)
	}
}

// ended returns the numbers of those listed places that are held no longer.
func (p *places) ended(group string, listed []*pb.HeldPlace) []uint64 {
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
func (p *places) list(group string) (upTo uint64, held []*pb.HeldPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.byGroup[group]; ok {
		for _, place := range g.held {
			held = append(held, place)
		}
	}
	return p.last, held
}

// groups returns the groups to be confirmed to their homes: those in which
// anything is held or the home may not know that nothing is.
func (p *places) groups() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.byGroup))
}

// confirmed notes that the home took a list of this many places, made when
// upTo was the last number.
func (p *places) confirmed(group string, upTo uint64, listed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.byGroup[group]
	if !ok || listed > 0 || g.latest > upTo {
		return
	}
	g.empty++
	if g.empty >= emptyConfirmations {
		delete(p.byGroup, group)
	}
}
