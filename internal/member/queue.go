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

// updateKey identifies a router or target whose current state is to be disseminated.
type updateKey struct {
	kind updateKind
	id   string
}

// maxUpdateProbes is the number of probes after which an update that is not urgent is
// no longer sent. In a fleet of a hundred routers this is 3 s, by which time syncs have
// delivered the update.
const maxUpdateProbes = 40

type queuedUpdate struct {
	key updateKey
	// urgent updates are sent before all others.
	urgent bool
	sent   int
	// seq orders updates that were sent equally often, newest first.
	seq uint64
	// queuedAtProbe is the count of probes when the update was queued.
	queuedAtProbe int
}

// updateQueue holds the updates to disseminate. Each is sent a bounded number of times.
// The queue holds only keys; an update carries the state that the entry has when the
// update is sent. The size of the queue is bounded by the tables of routers and targets
// and by the history.
type updateQueue struct {
	items   map[updateKey]*queuedUpdate
	lastSeq uint64
	// probes is the number of probes so far.
	probes int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{items: make(map[updateKey]*queuedUpdate)}
}

// add queues an update. An update of the same key that is already queued is replaced,
// so it is counted as not sent yet.
func (q *updateQueue) add(kind updateKind, id string) {
	q.lastSeq++
	key := updateKey{kind: kind, id: id}
	q.items[key] = &queuedUpdate{key: key, seq: q.lastSeq, queuedAtProbe: q.probes}
}

// addUrgent queues an update that is sent before all updates that are not urgent.
func (q *updateQueue) addUrgent(kind updateKind, id string) {
	q.add(kind, id)
	q.items[updateKey{kind: kind, id: id}].urgent = true
}

// countProbe counts a probe and removes updates that are not urgent and were queued
// more than maxUpdateProbes probes ago.
func (q *updateQueue) countProbe() {
	q.probes++
	for key, item := range q.items {
		if !item.urgent && q.probes-item.queuedAtProbe > maxUpdateProbes {
			delete(q.items, key)
		}
	}
}

// ordered returns the updates in the order of sending: urgent ones first, then the
// least often sent.
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
