package configlease

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// table is the router's copy of the control replicas' configuration table. The
// bounds of that table therefore bound its size as well.
type table struct {
	mu sync.RWMutex
	// heldRevision is the revision up to which replies have been applied.
	heldRevision uint64
	// byKey holds the contracts by the SHA-256 hash of a bearer key.
	byKey      map[[32]byte]*pb.Contract
	byCustomer map[string]*pb.Contract
	// intents holds the operators' intents by target.
	intents map[string]*pb.TargetIntent
}

func newTable() table {
	return table{
		byKey:      make(map[[32]byte]*pb.Contract),
		byCustomer: make(map[string]*pb.Contract),
		intents:    make(map[string]*pb.TargetIntent),
	}
}

func (t *table) revision() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.heldRevision
}

func (t *table) contractByKey(sum [32]byte) (*pb.Contract, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c, ok := t.byKey[sum]
	return c, ok
}

func (t *table) intent(target string) *pb.TargetIntent {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.intents[target]
}

func (t *table) contract(customer string) *pb.Contract {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byCustomer[customer]
}

func (t *table) contracts() []*pb.Contract {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.SortedFunc(maps.Values(t.byCustomer), func(a, b *pb.Contract) int {
		return cmp.Compare(a.Customer, b.Customer)
	})
}

// apply applies the objects of a reply and advances to the reply's revision. It
// returns an error if that revision is lower than the current one. The revisions
// in the replicas' log never decrease, so such a reply does not confirm the current
// state of the log that this copy follows.
func (t *table) apply(reply *pb.LeaseReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := reply.Revision
	if reply.Partial {
		to = reply.UpTo
	}
	if to < t.heldRevision {
		return errors.New("the reply has a lower revision than the local configuration")
	}
	// All old keys are removed before new keys are added, since a key can move
	// from one customer to another within one reply.
	for _, c := range reply.Contracts {
		t.removeOlderLocked(c)
	}
	for _, c := range reply.Contracts {
		t.addLocked(c)
	}
	for _, i := range reply.Intents {
		if i.Revision > t.intents[i.Target].GetRevision() {
			t.intents[i.Target] = i
		}
	}
	t.heldRevision = to
	return nil
}

// removeOlderLocked removes the previous contract of c's customer and its keys if
// that contract is older than c.
func (t *table) removeOlderLocked(c *pb.Contract) {
	old := t.byCustomer[c.Customer]
	if old == nil || old.Revision >= c.Revision {
		return
	}
	for _, sum := range old.KeyHashes {
		if key := [32]byte(sum); t.byKey[key] == old {
			delete(t.byKey, key)
		}
	}
	delete(t.byCustomer, c.Customer)
}

// addLocked adds c and its keys unless c is deleted or the customer still has a
// contract. Such a contract is at least as new as c, since removeOlderLocked did
// not remove it.
func (t *table) addLocked(c *pb.Contract) {
	if c.Deleted || t.byCustomer[c.Customer] != nil {
		return
	}
	t.byCustomer[c.Customer] = c
	for _, sum := range c.KeyHashes {
		if len(sum) == 32 {
			t.byKey[[32]byte(sum)] = c
		}
	}
}
