package state

// ledgerRouter is a claimant's router. It is kept as long as entries name it.
type ledgerRouter struct {
	id string
	// incarnation is the highest that claimed.
	incarnation uint64
	entries     int
}

// routerTable numbers routers, so that entries needn't hold their ids. It
// holds no more routers than the ledger holds entries.
type routerTable struct {
	byID  map[string]uint32
	byNum map[uint32]*ledgerRouter
	// lastNumber is the number given last.
	lastNumber uint32
}

func newRouterTable() routerTable {
	return routerTable{byID: make(map[string]uint32), byNum: make(map[uint32]*ledgerRouter)}
}

func (t *routerTable) at(number uint32) *ledgerRouter { return t.byNum[number] }

// observe notes a claim's incarnation; it returns false if a later one of the
// same router has claimed.
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

// acquire returns the router's number for one more entry.
func (t *routerTable) acquire(id string, incarnation uint64) uint32 {
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

// nextNumber counts on, past numbers still in use after a wrap.
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

func (t *routerTable) release(number uint32) {
	r := t.byNum[number]
	r.entries--
	if r.entries == 0 {
		delete(t.byID, r.id)
		delete(t.byNum, number)
	}
}
