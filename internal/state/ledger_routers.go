package state

// ledgerRouter is a router that has entries in the ledger. It is removed
// together with the last of its entries.
type ledgerRouter struct {
	id string
	// incarnation is the highest incarnation that has sent a claim.
	incarnation uint64
	// entries counts the ledger entries of the router.
	entries int
}

// routerTable assigns numbers to routers, so that ledger entries store a number
// instead of a router id. Every router has at least one entry, which bounds the
// table by the size of the ledger.
type routerTable struct {
	byID  map[string]uint32
	byNum map[uint32]*ledgerRouter
	// lastNumber is the number that was assigned most recently.
	lastNumber uint32
}

func newRouterTable() routerTable {
	return routerTable{byID: make(map[string]uint32), byNum: make(map[uint32]*ledgerRouter)}
}

func (t *routerTable) at(number uint32) *ledgerRouter { return t.byNum[number] }

// observe records the incarnation of a claim of a router that has entries. It
// reports whether the claim is current, which means that no later incarnation of
// the same router has sent a claim.
func (t *routerTable) observe(id string, incarnation uint64) bool {
	number, ok := t.byID[id]
	if !ok {
		return true
	}
	r := t.byNum[number]
	if incarnation < r.incarnation {
		return false
	}
	r.incarnation = incarnation
	return true
}

// addEntry adds one entry to the router's count and returns the router's number.
// It assigns a number to a new router.
func (t *routerTable) addEntry(id string, incarnation uint64) uint32 {
	number, ok := t.byID[id]
	if !ok {
		number = t.nextNumber()
		t.put(number, &ledgerRouter{id: id, incarnation: incarnation})
	}
	r := t.byNum[number]
	r.incarnation = max(r.incarnation, incarnation)
	r.entries++
	return number
}

// nextNumber returns the next free number. After the counter has wrapped around,
// it skips numbers that are still in use.
func (t *routerTable) nextNumber() uint32 {
	for {
		t.lastNumber++
		if _, used := t.byNum[t.lastNumber]; !used {
			return t.lastNumber
		}
	}
}

func (t *routerTable) put(number uint32, r *ledgerRouter) {
	t.byID[r.id] = number
	t.byNum[number] = r
}

// removeEntry subtracts one entry from the router's count and removes the router
// with its last entry.
func (t *routerTable) removeEntry(number uint32) {
	r := t.byNum[number]
	r.entries--
	if r.entries == 0 {
		delete(t.byID, r.id)
		delete(t.byNum, number)
	}
}
