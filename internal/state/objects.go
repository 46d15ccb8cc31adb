package state

import (
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

type objectKind uint8

const (
	kindContract objectKind = iota
	kindIntent
)

type objectKey struct {
	kind objectKind
	name string
}

func keyOf(c *pb.ConfigChange) objectKey {
	if k := c.GetContract(); k != nil {
		return objectKey{kindContract, k.Customer}
	}
	return objectKey{kindIntent, c.GetIntent().GetTarget()}
}

// object is one version of a configuration object. It is immutable, so that
// readers can share its messages.
type object struct {
	operator string
	timeMs   int64
	position replica.Position
	contract *pb.Contract
	intent   *pb.TargetIntent
}

func newObject(c *pb.ConfigChange, timeMs int64, at replica.Position) *object {
	return &object{
		operator: c.Operator,
		timeMs:   timeMs,
		position: at,
		contract: c.GetContract(),
		intent:   c.GetIntent(),
	}
}

// revision returns zero for a nil object, which never existed.
func (o *object) revision() uint64 {
	switch {
	case o == nil:
		return 0
	case o.contract != nil:
		return o.contract.Revision
	}
	return o.intent.Revision
}

// revisionItem identifies the object that a revision changed.
type revisionItem struct {
	revision uint64
	key      objectKey
}

// objects holds the current version of each object and the order in which the
// objects changed. Deleted contracts stay as tombstones: routers must learn of
// the deletion, and a resend of the creation must still conflict.
type objects struct {
	byKey map[objectKey]*object
	// byRevision is sorted by revision. It holds one item for the current
	// version of each object, and stale items of older versions. It is
	// compacted when more than half of the items are stale.
	byRevision []revisionItem
	// customerByKeyHash maps the hashes of bearer keys to customers.
	customerByKeyHash map[[32]byte]string
}

// minCompactItems prevents a small table from being compacted at every change.
const minCompactItems = 64

func newObjects() objects {
	return objects{
		byKey:             make(map[objectKey]*object),
		customerByKeyHash: make(map[[32]byte]string),
	}
}

func (t *objects) len() int { return len(t.byKey) }

func (t *objects) get(key objectKey) *object { return t.byKey[key] }

func (t *objects) customerOfKeyHash(sum [32]byte) (string, bool) {
	customer, ok := t.customerByKeyHash[sum]
	return customer, ok
}

// put stores a version, whose revision must be higher than all others in the
// table.
func (t *objects) put(key objectKey, o *object) {
	if old := t.byKey[key]; old != nil {
		for _, sum := range old.contract.GetKeyHashes() {
			delete(t.customerByKeyHash, [32]byte(sum))
		}
	}
	if !o.contract.GetDeleted() {
		for _, sum := range o.contract.GetKeyHashes() {
			t.customerByKeyHash[[32]byte(sum)] = key.name
		}
	}
	t.byKey[key] = o
	t.byRevision = append(t.byRevision, revisionItem{o.revision(), key})
	if len(t.byRevision) > max(minCompactItems, 2*len(t.byKey)) {
		t.byRevision = slices.DeleteFunc(t.byRevision, t.stale)
	}
}

// stale reports whether a later change replaced the version of the item.
func (t *objects) stale(item revisionItem) bool {
	return t.byKey[item.key].revision() != item.revision
}

// after returns the items with a higher revision, stale ones included.
func (t *objects) after(revision uint64) []revisionItem {
	i, _ := slices.BinarySearchFunc(t.byRevision, revision+1, func(item revisionItem, r uint64) int {
		switch {
		case item.revision < r:
			return -1
		case item.revision > r:
			return 1
		}
		return 0
	})
	return t.byRevision[i:]
}
