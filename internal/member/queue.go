package member

import (
	"cmp"
	"slices"
)

type updateKind int

const (
	routerUpdate updateKind = iota
	targetUpdate
)

// updateKey names a router or target whose current state is to be disseminated.
type updateKey struct {
	kind updateKind
	id   string
}

// maxUpdateProbes is the number of probes for which an update that is not urgent is
// sent, 3 s in a fleet of a hundred routers: by then syncs have delivered it.
const maxUpdateProbes = 40

type queuedUpdate struct {
	key updateKey
	// urgent updates go before all others.
	urgent bool
	sent   int
	// seq orders updates that were sent equally often, newest first.
	seq uint64
	// queuedAtProbe is the round in which the update was queued.
	queuedAtProbe int
}

// updateQueue holds the updates to disseminate, each a bounded number of times. It
// holds keys only: what is sent is the entry's state at that time. Its size is bounded
// by the tables of routers and targets and by the history.
type updateQueue struct {
	items   map[updateKey]*queuedUpdate
	lastSeq uint64
	// probes counts the probes.
	probes int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{items: make(map[updateKey]*queuedUpdate)}
}

// add queues an update, with a new count if it was queued or sent before.
func (q *updateQueue) add(kind updateKind, id string) {
	q.lastSeq++
	key := updateKey{kind: kind, id: id}
	q.items[key] = &queuedUpdate{key: key, seq: q.lastSeq, queuedAtProbe: q.probes}
}

// addUrgent queues an update that goes before all updates that are not urgent.
func (q *updateQueue) addUrgent(kind updateKind, id string) {
	q.add(kind, id)
	q.items[updateKey{kind: kind, id: id}].urgent = true
}

// countProbe starts a round and removes updates that are not urgent and were queued more
// than maxUpdateRounds rounds ago.
func (q *updateQueue) countProbe() {
	q.probes++
	for key, item := range q.items {
		if !item.urgent && q.probes-item.queuedAtProbe > maxUpdateProbes {
			delete(q.items, key)
		}
	}
}

// ordered returns the updates, urgent ones first, then the least often sent.
func (q *updateQueue) ordered() []*queuedUpdate {
	items := make([]*queuedUpdate, 0, len(q.items))
	for _, item := range q.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *queuedUpdate) int {
		switch {
		case a.urgent && !b.urgent:
			return -1
		case b.urgent && !a.urgent:
			return 1
		}
		if c := cmp.Compare(a.sent, b.sent); c != 0 {
			return c
		}
		return cmp.Compare(b.seq, a.seq)
	})
	return items
}

// markSent counts one transmission of each update and removes those that reach the
// limit.
func (q *updateQueue) markSent(items []*queuedUpdate, limit int) {
	for _, item := range items {
		item.sent++
		if item.sent >= limit && q.items[item.key] == item {
			delete(q.items, item.key)
		}
	}
}

func (q *updateQueue) remove(key updateKey) { delete(q.items, key) }
