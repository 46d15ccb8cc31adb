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

// object is one version of a configuration object; it never changes, so that
// readers may share its messages.
type object struct {
	operator string
	timeMs   int64
	at       replica.Position
	contract *pb.Contract
	intent   *pb.TargetIntent
}

func newObject(c *pb.ConfigChange, timeMs int64, at replica.Position) *object {
	return &object{
		operator: c.Operator,
		timeMs:   timeMs,
		at:       at,
		contract: c.GetContract(),
		intent:   c.GetIntent(),
	}
}

// revision is zero for an object that never existed.
func (o *object) revision() uint64 {
	switch {
	case o == nil:
		return 0
	case o.contract != nil:
		return o.contract.Revision
	}
	return o.intent.Revision
}

type orderItem struct {
	revision uint64
	key      objectKey
}

// objects holds the present version of each object and the order in which
// they changed. Deleted contracts stay as tombstones: routers must learn of
// the deletion, and a resend of the creation must still conflict.
type objects struct {
	byKey map[objectKey]*object
	// order holds one live item for each object and items that a later
	// change made stale; it is compacted when half of them are stale.
	order []orderItem
	// owners maps key hashes to customers.
	owners map[[32]byte]string
}

// minOrderCompact keeps small tables from being compacted at each change.
const minOrderCompact = 64

func newObjects() objects {
	return objects{
		byKey:  make(map[objectKey]*object),
		owners: make(map[[32]byte]string),
	}
}

func (t *objects) len() int { return len(t.byKey) }

func (t *objects) get(key objectKey) *object { return t.byKey[key] }

func (t *objects) keyOwner(sum [32]byte) (string, bool) {
	owner, ok := t.owners[sum]
	return owner, ok
}

// put stores a version that is newer than all others.
func (t *objects) put(key objectKey, o *object) {
	if old := t.byKey[key]; old != nil {
		for _, sum := range old.contract.GetKeyHashes() {
			delete(t.owners, [32]byte(sum))
		}
	}
	if !o.contract.GetDeleted() {
		for _, sum := range o.contract.GetKeyHashes() {
			t.owners[[32]byte(sum)] = key.name
		}
	}
	t.byKey[key] = o
	t.order = append(t.order, orderItem{o.revision(), key})
	if len(t.order) > max(minOrderCompact, 2*len(t.byKey)) {
		t.order = slices.DeleteFunc(t.order, t.stale)
	}
}

func (t *objects) stale(item orderItem) bool {
	return t.byKey[item.key].revision() != item.revision
}

// after returns the order items of revisions above the given one.
func (t *objects) after(revision uint64) []orderItem {
	i, _ := slices.BinarySearchFunc(t.order, revision+1, func(item orderItem, r uint64) int {
		switch {
		case item.revision < r:
			return -1
		case item.revision > r:
			return 1
		}
		return 0
	})
	return t.order[i:]
}
