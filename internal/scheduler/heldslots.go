package scheduler

import (
	"maps"
	"slices"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// emptyReconciliations is the number of empty lists that this router reports to the
// owner of a group after the last held slot was released. One list is not enough:
// an older list with held slots may arrive after the first empty list.
const emptyReconciliations = 2

// heldSlots is the table of this router's requests that hold a slot, or that may
// hold a slot because the owner's reply is pending. It is safe for concurrent use.
type heldSlots struct {
	mu         sync.Mutex
	lastNumber uint64
	byGroup    map[string]*groupSlots
}

// groupSlots holds the slots in one group.
type groupSlots struct {
	held map[uint64]*pb.HeldPlace
	// lastNumber is the last request number assigned in the group.
	lastNumber uint64
	// emptySent is the number of empty lists reported since the last held slot
	// was released.
	emptySent int
}

func newHeldSlots() *heldSlots {
	return &heldSlots{byGroup: make(map[string]*groupSlots)}
}

// register adds a request whose reply is pending and returns its number.
func (h *heldSlots) register(group string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastNumber++
	g, ok := h.byGroup[group]
	if !ok {
		g = &groupSlots{held: make(map[uint64]*pb.HeldPlace)}
		h.byGroup[group] = g
	}
	g.held[h.lastNumber] = &pb.HeldPlace{Number: h.lastNumber}
	g.lastNumber = h.lastNumber
	g.emptySent = 0
	return h.lastNumber
}

// set records the slot that a request was granted.
func (h *heldSlots) set(group string, slot *pb.HeldPlace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byGroup[group].held[slot.Number] = slot
}

func (h *heldSlots) remove(group string, number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.byGroup[group]; ok {
		delete(g.held, number)
	}
}

// noLongerHeld returns the numbers of the listed slots that are no longer held.
func (h *heldSlots) noLongerHeld(group string, listed []*pb.HeldPlace) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var numbers []uint64
	for _, slot := range listed {
		if g, ok := h.byGroup[group]; !ok || g.held[slot.Number] == nil {
			numbers = append(numbers, slot.Number)
		}
	}
	return numbers
}

// list returns the slots held in a group. upTo is the last number assigned in any
// group: requests with higher numbers began after the list was made.
func (h *heldSlots) list(group string) (upTo uint64, held []*pb.HeldPlace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.byGroup[group]; ok {
		for _, slot := range g.held {
			held = append(held, slot)
		}
	}
	return h.lastNumber, held
}

// groupsToReconcile returns the groups for whose owners a list of the held slots is
// due: this router holds a slot in the group, or the owner may not know yet that
// this router holds none.
func (h *heldSlots) groupsToReconcile() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.byGroup))
}

// reconciled records that the owner received a list of the given length. upTo is
// the last number assigned before the list was made. After emptyReconciliations
// empty lists, reconciled removes the group.
func (h *heldSlots) reconciled(group string, upTo uint64, listed int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, ok := h.byGroup[group]
	if !ok || listed > 0 || g.lastNumber > upTo {
		return
	}
	g.emptySent++
	if g.emptySent >= emptyReconciliations {
		delete(h.byGroup, group)
	}
}
