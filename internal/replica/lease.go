package replica

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// maxOpenRounds bounds the rounds whose send time is remembered.
const maxOpenRounds = 1024

// leaseClock remembers when each confirmation round was sent. A follower that
// answered a round refuses its vote for an election timeout counted from when
// it received the heartbeat, hence from later than the send time noted here.
type leaseClock struct {
	// woke is when the loop began the present pass: before any of its sends.
	woke  time.Time
	term  uint64
	last  uint64
	open  []sentRound
	start time.Time
}

type sentRound struct {
	round uint64
	at    time.Time
}

// update notes rounds started in this pass and those confirmed by now.
func (l *leaseClock) update(s consensus.Status, started, confirmed uint64) {
	if s.Role != consensus.Leader {
		*l = leaseClock{woke: l.woke}
		return
	}
	if l.term != s.Term {
		*l = leaseClock{woke: l.woke, term: s.Term}
	}
	if started > l.last {
		l.last = started
		l.open = append(l.open, sentRound{started, l.woke})
	}
	// Rounds of one pass share its time; the last of them stands for all.
	for len(l.open) > 0 && l.open[0].round <= confirmed {
		l.start = l.open[0].at
		l.open = l.open[1:]
	}
	if len(l.open) > maxOpenRounds {
		l.open = l.open[1:]
	}
}

// until returns the end of the confirmed period, zero if there is none.
func (l *leaseClock) until(period time.Duration) time.Time {
	if l.start.IsZero() {
		return time.Time{}
	}
	return l.start.Add(period)
}

// ActUntil implements Log. The period is counted from before the confirmed
// heartbeats were sent; a process that was frozen finds it over.
func (n *Node) ActUntil() (until time.Time, term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &n.status
	ok = s.Role == consensus.Leader && s.leaseReady && n.now().Before(s.leaseUntil)
	return s.leaseUntil, s.Term, ok
}
