package state

import (
	"crypto/sha256"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// operation is the result of the first change that was sent under an operation
// id.
type operation struct {
	id        string
	digest    [sha256.Size]byte
	createdMs int64
	result    *pb.ChangeResult
}

// operations holds the results of recent operations, so that a resend gets the
// result of its first execution. The oldest are evicted first, by age or by
// count. A resend after the eviction can't be accepted a second time: the
// object's revision has increased and never returns to the one that the change
// replaces.
type operations struct {
	max   int
	ttlMs int64
	byID  map[string]*operation
	fifo  []*operation
}

func newOperations(b Bounds) operations {
	return operations{
		max:   b.MaxOperations,
		ttlMs: b.OperationTTL.Milliseconds(),
		byID:  make(map[string]*operation),
	}
}

func (t *operations) find(id string) (*operation, bool) {
	op, ok := t.byID[id]
	return op, ok
}

func (t *operations) add(id string, digest [sha256.Size]byte, nowMs int64, result *pb.ChangeResult) {
	op := &operation{id: id, digest: digest, createdMs: nowMs, result: result}
	t.byID[id] = op
	t.fifo = append(t.fifo, op)
	if len(t.fifo) > t.max {
		t.dropOldest()
	}
}

func (t *operations) expire(nowMs int64) {
	for len(t.fifo) > 0 && t.fifo[0].createdMs+t.ttlMs <= nowMs {
		t.dropOldest()
	}
}

func (t *operations) dropOldest() {
	delete(t.byID, t.fifo[0].id)
	t.fifo[0] = nil
	t.fifo = t.fifo[1:]
}
