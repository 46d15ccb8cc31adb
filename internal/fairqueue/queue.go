package fairqueue

import (
	"cmp"
	"slices"
	"time"
)

// DefaultQueueLength is the default limit of the requests that wait in one
// queue.
const DefaultQueueLength = 1024

// maxFlows bounds the customers whose virtual times are kept while they are
// idle. Once there are as many customers, a new customer causes all idle ones to
// be evicted.
const maxFlows = 4096

// Queue holds waiting requests. Start-time fair queueing decides the order of
// customers. A Queue is not safe for concurrent use.
type Queue struct {
	maxLen int
	// virtualTime is the start tag of the last request that began service. The
	// start tag of a customer that was idle is raised to this time, so that idle
	// time earns no credit.
	virtualTime float64
	// flows holds the state of each customer by name.
	flows   map[string]*flow
	waiting int
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

// Charge accounts for a request of a customer that begins service without
// waiting in the queue.
func (q *Queue) Charge(customer string, weight uint32, cost float64) {
	it := &Item{Customer: customer, Weight: weight, Cost: cost}
	f := q.flowFor(it)
	if f.count == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	// While requests wait, only Take advances the virtual time, which belongs to
	// the order of the waiting requests.
	if q.waiting == 0 {
		q.virtualTime = f.startTag
	}
	f.startTag += it.cost() / it.weight()
}

// Push adds a request. If the queue is full, Push removes and returns one
// request, which may be the new one. Push selects the customer with the largest
// backlog relative to its weight, and of this customer the newest request of the
// lowest class.
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

// Take removes and returns the first request for which admit returns true, or
// nil if there is none. Take tries customers in the order of their start tags,
// and the requests of a customer in the order of their finish tags. If admit
// returns false, Take skips the customer's other requests with the same target
// set.
func (q *Queue) Take(admit func(*Item) bool) *Item {
	for _, f := range q.backlogged() {
		var blocked []string
		for _, it := range f.heads() {
			// A request with an earlier finish tag and the same target set was
			// not admitted.
			if slices.Contains(blocked, it.TargetSet) {
				continue
			}
			if !admit(it) {
				blocked = append(blocked, it.TargetSet)
				continue
			}
			q.virtualTime = max(q.virtualTime, f.startTag)
			f.beginService(it)
			return q.Remove(it.Customer, it.ID)
		}
	}
	return nil
}

// Remove removes and returns a waiting request. Remove returns nil if the
// request is not in the queue.
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

// Expired removes and returns, by ascending ID, the requests whose deadline is
// not after now.
func (q *Queue) Expired(now time.Time) []*Item {
	var expired []*Item
	for _, f := range q.flows {
		for _, fifo := range f.fifos {
			for _, it := range fifo {
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

// flowFor returns the flow of the item's customer with the item's weight. It
// creates the flow if needed.
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

// backlogged returns the flows with waiting requests, by ascending start tag.
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

// mostBacklogged returns the flow with the largest backlog relative to its
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

// evictIdle removes all flows without waiting requests once there are maxFlows
// flows.
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
