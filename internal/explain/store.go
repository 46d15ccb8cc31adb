// Package explain keeps the decisions that a router made for its most recent
// finished requests, and searches the records of all routers for one request. The
// records are held in memory only.
package explain

import (
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// maxStoredRequests is the number of finished requests that a router keeps.
const maxStoredRequests = 8192

// Store keeps the most recent finished requests of one router in a ring buffer,
// indexed by request id. It implements filter.Observer.
type Store struct {
	mu    sync.Mutex
	ring  [maxStoredRequests]*filter.Record
	next  int
	index map[string]*filter.Record
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{index: make(map[string]*filter.Record)}
}

// Observe stores a finished request and evicts the oldest one if the store is full. If
// two stored requests have the same id, the index holds the later one.
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

// Find returns the most recent request with this id, or nil if the store has no such
// request.
func (s *Store) Find(requestID string) *filter.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index[requestID]
}
