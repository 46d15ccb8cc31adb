package fairqueue

import (
	"cmp"
	"slices"
	"time"
)

// DefaultQueueLength is the default limit of the requests that wait in one
// queue.
const DefaultQueueLength = 1024

// maxFlows is the number of customers from which on idle customers are evicted.
const maxFlows = 4096

// Queue is a queue of waiting requests with start-time fair queueing over
// customers. It is not safe for concurrent use.
type Queue struct {
	maxLen int
	// virtualTime is the start tag of the last request that began service. An
	// idle customer resumes from this time, so that idle time earns no credit.
	virtualTime float64
	flows       map[string]*flow
	waiting     int
}

// NewQueue returns an empty queue that holds at most maxLen requests.
func NewQueue(maxLen int) *Queue {
	return &Queue{maxLen: maxLen, flows: make(map[string]*flow)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Waiting returns the number of waiting requests of a customer.
func (q *Queue) Waiting(customer string) int {
	if f, ok := q.flows[customer]; ok {
		return f.count
	}
	return 0
}

// Ahead returns the number of waiting requests of a customer in a class and in
// all more urgent classes.
func (q *Queue) Ahead(customer string, class int) int {
	if f, ok := q.flows[customer]; ok {
		return f.ahead(min(max(class, 0), numClasses-1))
	}
	return 0
}

// Charge accounts for service that a customer received without waiting.
func (q *Queue) Charge(customer string, weight uint32, cost float64) {
	it := &Item{Customer: customer, Weight: weight, Cost: cost}
	f := q.flowFor(it)
	if f.count == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	// While requests wait, only Take advances the virtual time.
	if q.waiting == 0 {
		q.virtualTime = f.startTag
	}
	f.startTag += it.cost() / it.weight()
}

// Push adds a request. If the queue is full, Push sheds and returns one request,
// which may be the new one: the newest request of the lowest class of the
// customer with the largest backlog relative to its weight.
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

// Take removes and returns the next request for which admit returns true, or
// nil if there is none. Customers are tried in the order of their start tags.
func (q *Queue) Take(admit func(*Item) bool) *Item {
	for _, f := range q.backlogged() {
		var blockedLanes []string
		for _, it := range f.heads() {
			// A request with an earlier finish tag was not admitted in this lane.
			if slices.Contains(blockedLanes, it.TargetSet) {
				continue
			}
			if !admit(it) {
				blockedLanes = append(blockedLanes, it.TargetSet)
				continue
			}
			q.virtualTime = max(q.virtualTime, f.startTag)
			f.beginService(it)
			return q.Remove(it.Customer, it.ID)
		}
	}
	return nil
}

// Remove removes and returns a waiting request. It returns nil if the request
// is not in the queue.
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

// Expired removes and returns the requests whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Item {
	var expired []*Item
	for _, f := range q.flows {
		for _, lane := range f.fifos {
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

// flowFor returns the flow of the item's customer, which it creates if needed.
func (q *Queue) flowFor(it *Item) *flow {
	f, ok := q.flows[it.Customer]
	if !ok {
		q.evictIdle()
		f = &flow{customer: it.Customer, fifos: make(map[fifoKey][]*Item)}
		q.flows[it.Customer] = f
	}
	f.weight = it.weight()
	return f
}

// backlogged returns the customers with waiting requests, by ascending start
// tag.
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

// mostBacklogged returns the customer with the largest backlog relative to its
// weight.
func (q *Queue) mostBacklogged() *flow {
	var most *flow
	for _, f := range q.flows {
		if f.count == 0 {
			continue
		}
		if most == nil || f.normalizedBacklog() > most.normalizedBacklog() ||
			(f.normalizedBacklog() == most.normalizedBacklog() && f.customer < most.customer) {
			most = f
		}
	}
	return most
}

// evictIdle removes customers without waiting requests once maxFlows customers
// are kept.
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
