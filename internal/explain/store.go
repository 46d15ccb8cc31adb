// Package explain keeps the decisions made for finished requests and finds
// them again from any instance.
package explain

import (
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// maxStoredRequests is the number of finished requests that a router remembers.
const maxStoredRequests = 8192

// Store remembers the newest finished requests of one router. It implements
// filter.Observer.
type Store struct {
	mu    sync.Mutex
	ring  [maxStoredRequests]*filter.Record
	next  int
	index map[string]*filter.Record
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{index: make(map[string]*filter.Record)}
}

// Observe remembers a finished request in place of the oldest one.
func (s *Store) Observe(rec *filter.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.ring[s.next]; old != nil && s.index[old.RequestID] == old {
		delete(s.index, old.RequestID)
	}
	s.ring[s.next] = rec
	s.index[rec.RequestID] = rec
	s.next = (s.next + 1) % maxStoredRequests
}

// Find returns the request with this id, or nil if it is not remembered.
func (s *Store) Find(requestID string) *filter.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index[requestID]
}
