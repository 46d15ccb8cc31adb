package admission

import (
	"cmp"
	"slices"
)

// laneKey names one first-in-first-out lane of a customer.
type laneKey struct {
	class int
	lane  string
}

// flow is one customer's part of the queue.
type flow struct {
	customer string
	weight   float64
	// startTag is the virtual time at which the next request starts service.
	startTag float64
	lanes    map[laneKey][]*Item
	count    int
	cost     float64

	// classes are served by fair queueing of their own, in a virtual time of
	// the customer.
	classes          [numClasses]class
	classVirtualTime float64
}

// class is one priority class of a customer.
type class struct {
	// startTag is the virtual time at which its next request starts service.
	startTag float64
	count    int
}

func (f *flow) push(it *Item) {
	k := laneKey{class: it.class(), lane: it.Lane}
	f.lanes[k] = append(f.lanes[k], it)
	f.count++
	f.cost += it.cost()
	c := &f.classes[it.class()]
	if c.count == 0 {
		c.startTag = max(c.startTag, f.classVirtualTime)
	}
	c.count++
}

// beginService moves the virtual times on by an item that begins service.
func (f *flow) beginService(it *Item) {
	f.startTag += it.cost() / it.weight()
	c := &f.classes[it.class()]
	f.classVirtualTime = max(f.classVirtualTime, c.startTag)
	c.startTag += it.classCost()
}

// finishTag is the virtual time at which the item, as its class's next, would
// end service. It stays while those of busier classes grow: waiting ages.
func (f *flow) finishTag(it *Item) float64 { return f.classes[it.class()].startTag + it.classCost() }

// ahead counts the requests of a class and of more urgent ones.
func (f *flow) ahead(class int) int {
	n := 0
	for _, c := range f.classes[:class+1] {
		n += c.count
	}
	return n
}

func (f *flow) remove(id uint64) *Item {
	for k, lane := range f.lanes {
		i := slices.IndexFunc(lane, func(it *Item) bool { return it.ID == id })
		if i < 0 {
			continue
		}
		it := lane[i]
		f.lanes[k] = slices.Delete(lane, i, i+1)
		if len(f.lanes[k]) == 0 {
			delete(f.lanes, k)
		}
		f.count--
		f.cost -= it.cost()
		f.classes[it.class()].count--
		return it
	}
	return nil
}

// heads returns the first request of each lane, the one whose class is next
// first.
func (f *flow) heads() []*Item {
	heads := make([]*Item, 0, len(f.lanes))
	for _, lane := range f.lanes {
		heads = append(heads, lane[0])
	}
	slices.SortFunc(heads, func(a, b *Item) int {
		return cmp.Or(
			cmp.Compare(f.finishTag(a), f.finishTag(b)),
			a.Enqueued.Compare(b.Enqueued),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return heads
}

// shedCandidate returns the request that the customer misses least: of its lowest
// class the newest one.
func (f *flow) shedCandidate() *Item {
	var last *Item
	for _, lane := range f.lanes {
		it := lane[len(lane)-1]
		if last == nil || it.class() > last.class() || (it.class() == last.class() && it.ID > last.ID) {
			last = it
		}
	}
	return last
}

// normalizedBacklog is the service that the customer queues for its weight.
func (f *flow) normalizedBacklog() float64 { return f.cost / f.weight }
