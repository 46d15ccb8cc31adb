package admission

import (
	"cmp"
	"slices"
	"time"
)

// DefaultQueueLength bounds the requests that wait in one queue.
const DefaultQueueLength = 1024

// maxFlows bounds the customers whose virtual times are kept.
const maxFlows = 4096

// Queue is a start-time fair queue over customers. It is not safe for
// concurrent use.
type Queue struct {
	maxLen int
	// virtualTime is the start tag of the last request that began service. A
	// customer that was idle resumes from it and so gains nothing by having
	// been idle.
	virtualTime float64
	flows       map[string]*flow
	waiting     int
}

// NewQueue makes a queue that holds at most length requests.
func NewQueue(length int) *Queue {
	return &Queue{maxLen: length, flows: make(map[string]*flow)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Waiting returns the number of a customer's waiting requests.
func (q *Queue) Waiting(customer string) int {
	if f, ok := q.flows[customer]; ok {
		return f.count
	}
	return 0
}

// Ahead returns the number of a customer's waiting requests of a class and of
// more urgent ones.
func (q *Queue) Ahead(customer string, class int) int {
	if f, ok := q.flows[customer]; ok {
		return f.ahead(min(max(class, 0), numClasses-1))
	}
	return 0
}

// Charge counts service that a customer received without waiting.
func (q *Queue) Charge(customer string, weight uint32, cost float64) {
	it := &Item{Customer: customer, Weight: weight, Cost: cost}
	f := q.flowFor(it)
	if f.count == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	// With requests waiting, virtual time belongs to them.
	if q.waiting == 0 {
		q.virtualTime = f.startTag
	}
	f.startTag += it.cost() / it.weight()
}

// Push adds a request. If the queue is full, the request that is shed is
// returned: the last one of the customer that queues the most for its weight,
// which may be the new request itself.
func (q *Queue) Push(it *Item) (shed *Item) {
	f := q.flowFor(it)
	if f.count == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.push(it)
	q.waiting++
	if q.waiting <= q.maxLen {
		return nil
	}
	shed = q.mostBacklogged().shedCandidate()
	return q.Remove(shed.Customer, shed.ID)
}

// Take removes and returns the next request for which admit is true, nil if
// there is none. Customers are tried in the order of their start tags.
func (q *Queue) Take(admit func(*Item) bool) *Item {
	for _, f := range q.backlogged() {
		var refused []string
		for _, it := range f.heads() {
			// The lane was refused for a more urgent class already.
			if slices.Contains(refused, it.Lane) {
				continue
			}
			if !admit(it) {
				refused = append(refused, it.Lane)
				continue
			}
			q.virtualTime = max(q.virtualTime, f.startTag)
			f.beginService(it)
			return q.Remove(it.Customer, it.ID)
		}
	}
	return nil
}

// Remove takes a request out of the queue; it returns nil if it is not there.
func (q *Queue) Remove(customer string, id uint64) *Item {
	f, ok := q.flows[customer]
	if !ok {
		return nil
	}
	it := f.remove(id)
	if it != nil {
		q.waiting--
	}
	return it
}

// Expired removes and returns the requests that are to be given up now.
func (q *Queue) Expired(now time.Time) []*Item {
	var expired []*Item
	for _, f := range q.flows {
		for _, lane := range f.lanes {
			for _, it := range lane {
				if !it.Deadline.After(now) {
					expired = append(expired, it)
				}
			}
		}
	}
	slices.SortFunc(expired, func(a, b *Item) int { return cmp.Compare(a.ID, b.ID) })
	for _, it := range expired {
		q.Remove(it.Customer, it.ID)
	}
	return expired
}

func (q *Queue) flowFor(it *Item) *flow {
	f, ok := q.flows[it.Customer]
	if !ok {
		q.evictIdle()
		f = &flow{customer: it.Customer, lanes: make(map[laneKey][]*Item)}
		q.flows[it.Customer] = f
	}
	f.weight = it.weight()
	return f
}

// backlogged returns the customers with waiting requests by start tag.
func (q *Queue) backlogged() []*flow {
	flows := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		if f.count > 0 {
			flows = append(flows, f)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.customer, b.customer))
	})
	return flows
}

// mostBacklogged returns the customer that queues the most service for its weight.
func (q *Queue) mostBacklogged() *flow {
	var longest *flow
	for _, f := range q.flows {
		if f.count == 0 {
			continue
		}
		if longest == nil || f.normalizedBacklog() > longest.normalizedBacklog() ||
			(f.normalizedBacklog() == longest.normalizedBacklog() && f.customer < longest.customer) {
			longest = f
		}
	}
	return longest
}

// evictIdle forgets customers without work once the bound is reached.
func (q *Queue) evictIdle() {
	if len(q.flows) < maxFlows {
		return
	}
	for name, f := range q.flows {
		if f.count == 0 {
			delete(q.flows, name)
		}
	}
}
