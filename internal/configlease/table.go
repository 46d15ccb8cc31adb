package configlease

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// table is the router's copy of the configuration. Its bound is that of the
// replicas' table, which it copies.
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

// apply takes the objects of a reply and moves to its revision, never back:
// accepted revisions don't fall, so a lower one is no evidence of this log.
func (t *table) apply(reply *pb.LeaseReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := reply.Revision
	if reply.Partial {
		to = reply.UpTo
	}
	if to < t.heldRevision {
		return errors.New("the evidence is for a lower revision than the one held")
	}
	// Old keys leave before new ones enter, since a key may move from one
	// customer to another within one reply.
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
