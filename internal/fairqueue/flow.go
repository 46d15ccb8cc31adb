package fairqueue

import (
	"cmp"
	"slices"
)

// fifoKey identifies one FIFO queue of a customer.
type fifoKey struct {
	class     int
	targetSet string
}

// flow holds the waiting requests and the virtual times of one customer.
type flow struct {
	customer string
	weight   float64
	// startTag is the virtual time at which the customer's next request
	// starts service.
	startTag float64
	fifos    map[fifoKey][]*Item
	count    int
	cost     float64

	// classes share the customer's service by a second level of fair
	// queueing, whose virtual time is classVirtualTime.
	classes          [numClasses]class
	classVirtualTime float64
}

// class holds the state of one priority class of a customer.
type class struct {
	// startTag is the virtual time of the customer at which the next request
	// of the class starts service.
	startTag float64
	count    int
}

func (f *flow) push(it *Item) {
	k := fifoKey{class: it.class(), targetSet: it.TargetSet}
	f.fifos[k] = append(f.fifos[k], it)
	f.count++
	f.cost += it.cost()
	c := &f.classes[it.class()]
	if c.count == 0 {
		c.startTag = max(c.startTag, f.classVirtualTime)
	}
	c.count++
}

// beginService advances the virtual times for an item that starts service.
func (f *flow) beginService(it *Item) {
	f.startTag += it.cost() / it.weight()
	c := &f.classes[it.class()]
	f.classVirtualTime = max(f.classVirtualTime, c.startTag)
	c.startTag += it.classCost()
}

// finishTag returns the virtual time at which the item would end service if it
// were the next one of its class. The tag of a waiting item stays the same
// while the tags of busier classes grow, so a low class does not starve.
func (f *flow) finishTag(it *Item) float64 { return f.classes[it.class()].startTag + it.classCost() }

// ahead returns the number of waiting requests in a class and in all more
// urgent classes.
func (f *flow) ahead(class int) int {
	n := 0
	for _, c := range f.classes[:class+1] {
		n += c.count
	}
	return n
}

func (f *flow) remove(id uint64) *Item {
	for k, lane := range f.fifos {
		i := slices.IndexFunc(lane, func(it *Item) bool { return it.ID == id })
		if i < 0 {
			continue
		}
		it := lane[i]
		f.fifos[k] = slices.Delete(lane, i, i+1)
		if len(f.fifos[k]) == 0 {
			delete(f.fifos, k)
		}
		f.count--
		f.cost -= it.cost()
		f.classes[it.class()].count--
		return it
	}
	return nil
}

// heads returns the first request of each lane, by ascending finish tag.
func (f *flow) heads() []*Item {
	heads := make([]*Item, 0, len(f.fifos))
	for _, lane := range f.fifos {
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

// shedCandidate returns the request whose loss costs the customer the least:
// the newest request of the lowest class.
func (f *flow) shedCandidate() *Item {
	var last *Item
	for _, lane := range f.fifos {
		it := lane[len(lane)-1]
		if last == nil || it.class() > last.class() || (it.class() == last.class() && it.ID > last.ID) {
			last = it
		}
	}
	return last
}

// normalizedBacklog returns the cost of the customer's waiting requests divided
// by the customer's weight.
func (f *flow) normalizedBacklog() float64 { return f.cost / f.weight }
