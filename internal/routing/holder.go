package routing

import (
	"sync"
	"sync/atomic"
)

// Holder holds the table in force at one process. Its number never falls.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Index]
}

// Current returns the table in force, nil before the first one.
func (h *Holder) Current() *Index { return h.current.Load() }

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
	h.current.Store(NewIndex(t))
	return true
}
