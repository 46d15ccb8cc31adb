package member

import "container/list"

// maxHistory bounds the targets whose last incarnation is remembered after
// they are gone; the design has 10,000 servers.
const maxHistory = 20000

// incarnation is the last one known of a target.
type incarnation struct {
	id          string
	incarnation uint64
	left        bool
}

// history remembers the last incarnation of each target, also of those that
// are gone, so that none returns after it left or was replaced. The longest
// unchanged are forgotten at the bound. That can't revive what gossip still
// carries, since a lease needs proof that the target announced itself since;
// it only lets a target announce an incarnation again that it left long ago.
type history struct {
	bound int
	byID  map[string]*list.Element
	order *list.List
}

func newHistory(bound int) *history {
	return &history{bound: bound, byID: make(map[string]*list.Element), order: list.New()}
}

func (h *history) get(id string) (incarnation, bool) {
	el, ok := h.byID[id]
	if !ok {
		return incarnation{}, false
	}
	return *el.Value.(*incarnation), true
}

// set records an incarnation; it never goes back to an older one, and one
// that left stays so.
func (h *history) set(id string, number uint64, left bool) {
	el, ok := h.byID[id]
	if !ok {
		h.byID[id] = h.order.PushBack(&incarnation{id: id, incarnation: number, left: left})
		h.trim()
		return
	}
	known := el.Value.(*incarnation)
	h.order.MoveToBack(el)
	switch {
	case number > known.incarnation:
		known.incarnation, known.left = number, left
	case number == known.incarnation:
		known.left = known.left || left
	}
}

func (h *history) trim() {
	for len(h.byID) > h.bound {
		oldest := h.order.Front()
		h.order.Remove(oldest)
		delete(h.byID, oldest.Value.(*incarnation).id)
	}
}
