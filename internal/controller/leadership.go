package controller

import (
	"errors"
	"sync"
	"time"
)

// errNoLease means that this process must not send orders now: it is not the leader, its
// lease has expired, or its takeover wait has not ended.
var errNoLease = errors.New("this replica holds no leader lease or is still in its takeover wait")

// Leader provides the leader lease of this process. replica.Node implements Leader.
type Leader interface {
	// LeaderLease returns the time at which the lease expires and the term. ok reports
	// whether this process holds the lease now.
	LeaderLease() (until time.Time, term uint64, ok bool)
}

// orderLease is a leader lease that a new leader may use only after a takeover wait.
// During the wait, orders that an earlier leader sent within its own lease may still be
// in transit.
type orderLease struct {
	leader       Leader
	takeoverWait time.Duration

	mu sync.Mutex
	// term is the highest term that expiry has seen, termSeenAt the time at which
	// expiry saw it first.
	term       uint64
	termSeenAt time.Time
}

// expiry returns the time at which this process must stop sending orders, or errNoLease
// if it must not send any now.
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

// currentTerm returns the highest term that expiry has seen.
func (l *orderLease) currentTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}
