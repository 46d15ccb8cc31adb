package scheduler

import (
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// places are the requests that this router has brought and that hold a place,
// or may hold one because the home's answer is not known yet.
type places struct {
	mu      sync.Mutex
	last    uint64
	byGroup map[string]map[uint64]*pb.HeldPlace
}

func newPlaces() *places {
	return &places{byGroup: make(map[string]map[uint64]*pb.HeldPlace)}
}

// begin notes a request whose answer is not known, and numbers it.
func (p *places) begin(group string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	held, ok := p.byGroup[group]
	if !ok {
		held = make(map[uint64]*pb.HeldPlace)
		p.byGroup[group] = held
	}
	held[p.last] = &pb.HeldPlace{Number: p.last}
	return p.last
}

// set notes the place that a request got.
func (p *places) set(group string, place *pb.HeldPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byGroup[group][place.Number] = place
}

// end forgets a request.
func (p *places) end(group string, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byGroup[group], number)
}

// list returns all that is held in a group.
func (p *places) list(group string) (upTo uint64, held []*pb.HeldPlace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, place := range p.byGroup[group] {
		held = append(held, place)
	}
	return p.last, held
}

// groups returns the groups in which anything is held.
func (p *places) groups() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var groups []string
	for group, held := range p.byGroup {
		if len(held) > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}
