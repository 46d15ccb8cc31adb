package configlease

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// table is the router's copy of the configuration. Its size is bounded by that
// of the control replicas' table, of which it is a copy.
type table struct {
	mu           sync.RWMutex
	heldRevision uint64
	byKey        map[[32]byte]*pb.Contract
	byCustomer   map[string]*pb.Contract
	intents      map[string]*pb.TargetIntent
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
	k, ok := t.byKey[sum]
	return k, ok
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

// apply applies the objects of a reply and advances to its revision. It returns
// an error if that revision is lower than the current one: accepted revisions
// never decrease, so such a reply does not prove anything about this log.
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
	// All old keys are removed before new ones are added, since a key can move
	// from one customer to another within one reply.
	for _, k := range reply.Contracts {
		t.removeOlderLocked(k)
	}
	for _, k := range reply.Contracts {
		t.addLocked(k)
	}
	for _, i := range reply.Intents {
		if i.Revision > t.intents[i.Target].GetRevision() {
			t.intents[i.Target] = i
		}
	}
	t.heldRevision = to
	return nil
}

// removeOlderLocked removes the contract of k's customer, with its keys, if it
// is older than k.
func (t *table) removeOlderLocked(k *pb.Contract) {
	old := t.byCustomer[k.Customer]
	if old == nil || old.Revision >= k.Revision {
		return
	}
	for _, sum := range old.KeyHashes {
		if key := [32]byte(sum); t.byKey[key] == old {
			delete(t.byKey, key)
		}
	}
	delete(t.byCustomer, k.Customer)
}

// addLocked adds k and its keys, unless k is deleted or the customer still has a
// contract, which is then at least as new.
func (t *table) addLocked(k *pb.Contract) {
	if k.Deleted || t.byCustomer[k.Customer] != nil {
		return
	}
	t.byCustomer[k.Customer] = k
	for _, sum := range k.KeyHashes {
		if len(sum) == 32 {
			t.byKey[[32]byte(sum)] = k
		}
	}
}
