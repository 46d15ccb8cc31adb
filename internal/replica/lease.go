package replica

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
)

// maxUnconfirmedRounds bounds the unconfirmed rounds that are tracked, in the
// leader lease and in the read queue.
const maxUnconfirmedRounds = 1024

// leaseClock computes the leader lease. It records when each heartbeat round
// (heartbeats with the same round number) was sent. A follower that acknowledged
// a round grants no vote for an election timeout from the receipt of the
// heartbeat. The lease starts at passStart of the pass that sent the round, which
// is earlier, so that the lease expires before a follower can vote for another leader.
type leaseClock struct {
	// passStart is when the current pass of the loop began. All messages of the
	// pass are sent later.
	passStart       time.Time
	term            uint64
	lastStarted     uint64
	unconfirmed     []sentRound
	confirmedSentAt time.Time
}

// sentRound is a heartbeat round and the time before which none of its messages
// was sent.
type sentRound struct {
	round  uint64
	sentAt time.Time
}

// update records the last round that was started in this pass and removes the
// confirmed rounds. When the leadership or the term changes, it removes all rounds.
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
	// unconfirmed contains only the last round of each pass, since all rounds of a
	// pass have the same send time.
	for len(l.unconfirmed) > 0 && l.unconfirmed[0].round <= confirmed {
		l.confirmedSentAt = l.unconfirmed[0].sentAt
		l.unconfirmed = l.unconfirmed[1:]
	}
	if len(l.unconfirmed) > maxUnconfirmedRounds {
		l.unconfirmed = l.unconfirmed[1:]
	}
}

// until returns the end of the lease, which lasts for period from the recorded send
// time of the last confirmed round. It is zero if no round was confirmed.
func (l *leaseClock) until(period time.Duration) time.Time {
	if l.confirmedSentAt.IsZero() {
		return time.Time{}
	}
	return l.confirmedSentAt.Add(period)
}

// LeaderLease implements RaftNode. The lease starts before the heartbeats of the last
// confirmed round were sent (see leaseClock), and LeaderLease compares its end with
// the current time. A process that was frozen for longer than the lease therefore gets
// ok == false.
func (n *Node) LeaderLease() (until time.Time, term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &n.status
	ok = s.Role == consensus.Leader && s.leaseReady && n.now().Before(s.leaseUntil)
	return s.leaseUntil, s.Term, ok
}
