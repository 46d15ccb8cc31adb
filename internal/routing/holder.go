package routing

import (
	"sync"
	"sync/atomic"
)

// Holder holds the active routing table of a process. Table.Number serves as the
// version: the number of the active table never decreases. A Holder is safe for
// concurrent use; its zero value has no table.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Index]
	// loaded is closed once there is a table. The first call of Loaded creates it.
	loaded chan struct{}
}

// Current returns the index of the active table, or nil before the first table.
func (h *Holder) Current() *Index { return h.current.Load() }

// Loaded returns a channel that is closed once the first table is active.
func (h *Holder) Loaded() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loaded == nil {
		h.loaded = make(chan struct{})
		if h.Current() != nil {
			close(h.loaded)
		}
	}
	return h.loaded
}

// Number returns the number of the active table, or zero before the first table.
func (h *Holder) Number() uint64 {
	if x := h.Current(); x != nil {
		return x.Table.Number
	}
	return 0
}

// Apply makes t the active table if t has a higher number than the active table.
// It reports whether it did so. Check must have found no fault in t.
func (h *Holder) Apply(t *Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.Number <= h.Number() {
		return false
	}
	first := h.Current() == nil
	h.current.Store(NewIndex(t))
	if first && h.loaded != nil {
		close(h.loaded)
	}
	return true
}
