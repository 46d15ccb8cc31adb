package consensus

// progressState is the replication mode of one member.
type progressState int

const (
	// probing sends one append message at a time until the logs match.
	probing progressState = iota
	// replicating pipelines append messages without waiting for each acknowledgement.
	replicating
	// snapshotting sends a snapshot in chunks.
	snapshotting
)

// progress is the leader's view of one member's log.
type progress struct {
	// match is the highest index that the member is known to have synced.
	match uint64
	// next is the index of the next entry to send.
	next  uint64
	state progressState
	// inflight holds the last index of each unacknowledged append message.
	inflight []uint64
	// probePending is set while a probe waits for its reply.
	probePending bool
	// recentlyActive is set if the member has replied since the last quorum check.
	recentlyActive bool
	// ackedRound is the last heartbeat round that the member acknowledged.
	ackedRound uint64

	// snapshotIndex, snapshotTerm and snapshotOffset describe the snapshot in transfer
	// and the next byte to send.
	snapshotIndex  uint64
	snapshotTerm   uint64
	snapshotOffset uint64
	// chunkAcked is set if the member has acknowledged a snapshot chunk since the last
	// heartbeat reply.
	chunkAcked bool
}

func newProgress(next uint64) *progress {
	return &progress{next: next}
}

// paused reports whether flow control forbids further append messages.
func (p *progress) paused() bool {
	switch p.state {
	case probing:
		return p.probePending
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (p *progress) becomeProbing() {
	p.state = probing
	p.next = p.match + 1
	p.probePending = false
	p.inflight = nil
}

func (p *progress) becomeReplicating() {
	p.state = replicating
	p.next = p.match + 1
	p.probePending = false
	p.inflight = nil
}

// recordSent records an append message whose last entry has index last.
func (p *progress) recordSent(last uint64) {
	if p.state == probing {
		p.probePending = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// recordAck records that the member has synced its log up to index. It returns false if
// this was known already.
func (p *progress) recordAck(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}
