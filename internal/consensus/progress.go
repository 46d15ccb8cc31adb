package consensus

type progressState int

const (
	// probing sends one message at a time until the logs match.
	probing progressState = iota
	// replicating sends ahead of the acknowledgements.
	replicating
	// snapshotting sends chunks of a snapshot.
	snapshotting
)

// progress is what a leader knows of one member's log.
type progress struct {
	// match is the last index known to be synced there.
	match uint64
	next  uint64
	state progressState
	// inflight holds the last index of each append message on the way.
	inflight []uint64
	// probePending tells that a probe waits for its answer.
	probePending bool
	// recentlyActive tells that the member was heard of since the last quorum check.
	recentlyActive bool
	// ackedRound is the last confirmation round that the member answered.
	ackedRound uint64

	snapshotIndex  uint64
	snapshotTerm   uint64
	snapshotOffset uint64
	// chunkAcked tells that a chunk was acknowledged since the last heartbeat.
	chunkAcked bool
}

func newProgress(next uint64) *progress {
	return &progress{next: next}
}

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

// recordSent notes an append message with entries up to last.
func (p *progress) recordSent(last uint64) {
	if p.state == probing {
		p.probePending = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// recordAck notes that the member synced all up to index; false if that is old.
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
