package admission

import (
	"cmp"
	"slices"
	"time"
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
	// next is the virtual time at which the next request starts service.
	next  float64
	lanes map[laneKey][]*Item
	count int
	cost  float64
}

func (f *flow) push(it *Item) {
	k := laneKey{class: it.class(), lane: it.Lane}
	f.lanes[k] = append(f.lanes[k], it)
	f.count++
	f.cost += it.cost()
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
		return it
	}
	return nil
}

// heads returns the first request of each lane by aged class, then by arrival.
// Within a lane the first one is also the most aged.
func (f *flow) heads(now time.Time) []*Item {
	heads := make([]*Item, 0, len(f.lanes))
	for _, lane := range f.lanes {
		heads = append(heads, lane[0])
	}
	slices.SortFunc(heads, func(a, b *Item) int {
		return cmp.Or(
			cmp.Compare(a.rank(now), b.rank(now)),
			a.Enqueued.Compare(b.Enqueued),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return heads
}

// last returns the request that the customer misses least: of its lowest
// class the newest one.
func (f *flow) last() *Item {
	var last *Item
	for _, lane := range f.lanes {
		it := lane[len(lane)-1]
		if last == nil || it.class() > last.class() || (it.class() == last.class() && it.ID > last.ID) {
			last = it
		}
	}
	return last
}

// excess is the service that the customer queues for its weight.
func (f *flow) excess() float64 { return f.cost / f.weight }
