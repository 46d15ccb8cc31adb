package member

import "container/list"

// maxHistory limits the targets whose last incarnation is kept after they are gone; the
// system is designed for 10,000 servers.
const maxHistory = 20000

// incarnationRecord holds the last known incarnation of a target and whether the target
// has left in this incarnation.
type incarnationRecord struct {
	id          string
	incarnation uint64
	left        bool
	// handedOff is set once enough other routers hold the notice that the target leaves.
	handedOff bool
}

// history keeps the last incarnation of each target, also of targets that are gone, so
// that no target returns after it left or was replaced. When the history is full, the
// least recently changed record is evicted. Gossip that is still in flight cannot
// revive an evicted target, because a lease needs proof of a recent announcement. The
// only loss is that an evicted target may announce again an incarnation that has left
// long ago.
type history struct {
	maxEntries int
	byID       map[string]*list.Element
	order      *list.List
}

func newHistory(maxEntries int) *history {
	return &history{maxEntries: maxEntries, byID: make(map[string]*list.Element), order: list.New()}
}

func (h *history) get(id string) (incarnationRecord, bool) {
	el, ok := h.byID[id]
	if !ok {
		return incarnationRecord{}, false
	}
	return *el.Value.(*incarnationRecord), true
}

// set records an incarnation, and whether the target has left in it. A record is never
// replaced by an older incarnation, and a record marked as left stays marked.
func (h *history) set(id string, incarnation uint64, left bool) {
	el, ok := h.byID[id]
	if !ok {
		h.byID[id] = h.order.PushBack(&incarnationRecord{id: id, incarnation: incarnation, left: left})
		h.evict()
		return
	}
	known := el.Value.(*incarnationRecord)
	h.order.MoveToBack(el)
	switch {
	case incarnation > known.incarnation:
		known.incarnation, known.left, known.handedOff = incarnation, left, false
	case incarnation == known.incarnation:
		known.left = known.left || left
	}
}

// setHandedOff records that enough other routers hold the notice that this incarnation
// leaves.
func (h *history) setHandedOff(id string, incarnation uint64) {
	if el, ok := h.byID[id]; ok {
		if known := el.Value.(*incarnationRecord); known.incarnation == incarnation {
			known.handedOff = true
		}
	}
}

func (h *history) evict() {
	for len(h.byID) > h.maxEntries {
		oldest := h.order.Front()
		h.order.Remove(oldest)
		delete(h.byID, oldest.Value.(*incarnationRecord).id)
	}
}
