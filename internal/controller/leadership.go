package controller

import (
	"errors"
	"sync"
	"time"
)

// errNoLease means that this process may not act outward now.
var errNoLease = errors.New("this process is outside a leader's confirmed period")

// Leader tells when this process may act outward; replica.Node is one.
type Leader interface {
	LeaderLease() (until time.Time, term uint64, ok bool)
}

// orderLease adds to the leader's period the wait of a new leader: orders that
// an earlier leader sent within its own period may still be under way.
type orderLease struct {
	leader       Leader
	takeoverWait time.Duration

	mu         sync.Mutex
	term       uint64
	termSeenAt time.Time
}

// expiry returns the end of the period in which this process may send orders.
func (l *orderLease) expiry() (time.Time, error) {
	until, term, ok := l.leader.LeaderLease()
	now := time.Now()
	if !ok || !now.Before(until) {
		return time.Time{}, errNoLease
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if term > l.term {
		l.term = term
		l.termSeenAt = now
	}
	if term < l.term || now.Sub(l.termSeenAt) < l.takeoverWait {
		return time.Time{}, errNoLease
	}
	return until, nil
}

// currentTerm returns the newest term in which until was called.
func (l *orderLease) currentTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}
