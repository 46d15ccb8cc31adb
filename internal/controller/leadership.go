package controller

import (
	"errors"
	"sync"
	"time"
)

// errNotActing means that this process may not act outward now.
var errNotActing = errors.New("this process is outside a leader's confirmed period")

// Leader tells when this process may act outward; replica.Node is one.
type Leader interface {
	LeaderLease() (until time.Time, term uint64, ok bool)
}

// leadership adds to the leader's period the wait of a new leader: orders that
// an earlier leader sent within its own period may still be under way.
type leadership struct {
	leader Leader
	wait   time.Duration

	mu    sync.Mutex
	term  uint64
	begun time.Time
}

// until returns the end of the period in which this process may send orders.
func (l *leadership) until() (time.Time, error) {
	until, term, ok := l.leader.LeaderLease()
	now := time.Now()
	if !ok || !now.Before(until) {
		return time.Time{}, errNotActing
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if term > l.term {
		l.term = term
		l.begun = now
	}
	if term < l.term || now.Sub(l.begun) < l.wait {
		return time.Time{}, errNotActing
	}
	return until, nil
}

// currentTerm returns the newest term in which until was called.
func (l *leadership) currentTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}
