package member

import (
	"cmp"
	"slices"
)

type newsKind int

const (
	routerNews newsKind = iota
	targetNews
)

// newsKey names an entry whose present state is news.
type newsKey struct {
	kind newsKind
	id   string
}

// newsRounds is the number of probes for which news that is not urgent is passed on, 3 s
// in a fleet of a hundred: comparisons of views have brought it by then.
const newsRounds = 40

type newsItem struct {
	key newsKey
	// urgent items go before all others.
	urgent bool
	sent   int
	// added orders items that were sent equally often, newest first.
	added uint64
	// round is that in which the item was added.
	round int
}

// queue holds the entries to pass on, each a bounded number of times. It
// holds keys only: what is sent is the present state. Its size is bounded by
// the tables of routers and targets and the history.
type queue struct {
	items map[newsKey]*newsItem
	added uint64
	// round counts the probes.
	round int
}

func newQueue() *queue {
	return &queue{items: make(map[newsKey]*newsItem)}
}

// add makes an entry news, also if it was passed on before.
func (q *queue) add(kind newsKind, id string) {
	q.added++
	key := newsKey{kind: kind, id: id}
	q.items[key] = &newsItem{key: key, added: q.added, round: q.round}
}

// addUrgent makes an entry news that goes before all that is not urgent.
func (q *queue) addUrgent(kind newsKind, id string) {
	q.add(kind, id)
	q.items[newsKey{kind: kind, id: id}].urgent = true
}

// nextRound drops what was passed on for long enough.
func (q *queue) nextRound() {
	q.round++
	for key, item := range q.items {
		if !item.urgent && q.round-item.round > newsRounds {
			delete(q.items, key)
		}
	}
}

// ordered returns the news, the urgent first and then the least passed on.
func (q *queue) ordered() []*newsItem {
	items := make([]*newsItem, 0, len(q.items))
	for _, item := range q.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *newsItem) int {
		switch {
		case a.urgent && !b.urgent:
			return -1
		case b.urgent && !a.urgent:
			return 1
		}
		if c := cmp.Compare(a.sent, b.sent); c != 0 {
			return c
		}
		return cmp.Compare(b.added, a.added)
	})
	return items
}

// passed counts one sending of each item and drops those sent often enough.
func (q *queue) passed(items []*newsItem, limit int) {
	for _, item := range items {
		item.sent++
		if item.sent >= limit && q.items[item.key] == item {
			delete(q.items, item.key)
		}
	}
}

func (q *queue) drop(key newsKey) { delete(q.items, key) }
