package replica

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// maxUnconfirmedRounds bounds the rounds whose send time is remembered.
const maxUnconfirmedRounds = 1024

// leaseClock remembers when each confirmation round was sent. A follower that
// answered a round refuses its vote for an election timeout counted from when
// it received the heartbeat, hence from later than the send time noted here.
type leaseClock struct {
	// passStart is when the loop began the present pass: before any of its sends.
	passStart       time.Time
	term            uint64
	lastStarted     uint64
	unconfirmed     []sentRound
	confirmedSentAt time.Time
}

type sentRound struct {
	round  uint64
	sentAt time.Time
}

// update notes rounds started in this pass and those confirmed by now.
func (l *leaseClock) update(s consensus.Status, started, confirmed uint64) {
	if s.Role != consensus.Leader {
		*l = leaseClock{passStart: l.passStart}
		return
	}
	if l.term != s.Term {
		*l = leaseClock{passStart: l.passStart, term: s.Term}
	}
	if started > l.lastStarted {
		l.lastStarted = started
		l.unconfirmed = append(l.unconfirmed, sentRound{started, l.passStart})
	}
	// Rounds of one pass share its time; the last of them stands for all.
	for len(l.unconfirmed) > 0 && l.unconfirmed[0].round <= confirmed {
		l.confirmedSentAt = l.unconfirmed[0].sentAt
		l.unconfirmed = l.unconfirmed[1:]
	}
	if len(l.unconfirmed) > maxUnconfirmedRounds {
		l.unconfirmed = l.unconfirmed[1:]
	}
}

// until returns the end of the confirmed period, zero if there is none.
func (l *leaseClock) until(period time.Duration) time.Time {
	if l.confirmedSentAt.IsZero() {
		return time.Time{}
	}
	return l.confirmedSentAt.Add(period)
}

// LeaderLease implements Log. The period is counted from before the confirmed
// heartbeats were sent; a process that was frozen finds it over.
func (n *Node) LeaderLease() (until time.Time, term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &n.status
	ok = s.Role == consensus.Leader && s.leaseReady && n.now().Before(s.leaseUntil)
	return s.leaseUntil, s.Term, ok
}
