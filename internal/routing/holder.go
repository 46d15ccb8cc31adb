package routing

import (
	"sync"
	"sync/atomic"
)

// Holder holds the table in force at one process. Its number never falls.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Index]
	// loaded is closed once there is a table; nil until somebody asks for it.
	loaded chan struct{}
}

// Current returns the table in force, nil before the first one.
func (h *Holder) Current() *Index { return h.current.Load() }

// Loaded returns a channel that is closed once the first table is in force.
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

// Number returns the number of the table in force, zero before the first one.
func (h *Holder) Number() uint64 {
	if x := h.Current(); x != nil {
		return x.Table.Number
	}
	return 0
}

// Apply puts a table in force if its number is above the present one; it
// returns whether it did.
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
