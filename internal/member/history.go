package member

import "container/list"

// maxHistory limits the targets whose last incarnation is kept after they are gone; the
// design has 10,000 servers.
const maxHistory = 20000

// incarnationRecord holds the last known incarnation of a target and whether it has
// left.
type incarnationRecord struct {
	id          string
	incarnation uint64
	left        bool
}

// history keeps the last incarnation of each target, also of those that are gone, so
// that no target returns after it left or was replaced. At the bound, the least
// recently changed record is evicted. An evicted target can't be revived by gossip
// still in flight, since a lease needs proof that the target announced itself since;
// the target can only announce an incarnation again that it left long ago.
type history struct {
	maxEntries int
	byID       map[string]*list.Element
	order      *list.List
}

func newHistory(bound int) *history {
	return &history{maxEntries: bound, byID: make(map[string]*list.Element), order: list.New()}
}

func (h *history) get(id string) (incarnationRecord, bool) {
	el, ok := h.byID[id]
	if !ok {
		return incarnationRecord{}, false
	}
	return *el.Value.(*incarnationRecord), true
}

// set records an incarnation. It never replaces a newer one, and an incarnation that
// has left stays so.
func (h *history) set(id string, number uint64, left bool) {
	el, ok := h.byID[id]
	if !ok {
		h.byID[id] = h.order.PushBack(&incarnationRecord{id: id, incarnation: number, left: left})
		h.evict()
		return
	}
	known := el.Value.(*incarnationRecord)
	h.order.MoveToBack(el)
	switch {
	case number > known.incarnation:
		known.incarnation, known.left = number, left
	case number == known.incarnation:
		known.left = known.left || left
	}
}

func (h *history) evict() {
	for len(h.byID) > h.maxEntries {
		oldest := h.order.Front()
		h.order.Remove(oldest)
		delete(h.byID, oldest.Value.(*incarnationRecord).id)
	}
}
