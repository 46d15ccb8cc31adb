// Package fairqueue orders the requests that wait for a slot at a target.
//
// Two levels of weighted fair queueing decide the order. The outer level
// selects the customer that has received the least service relative to its
// weight. A surge of one customer therefore delays mainly that customer's own
// requests. The inner level divides a customer's service between its priority
// classes. It selects the request with the lowest finish tag, which grows with
// the cost of the request and shrinks with the weight of its class: cheap
// requests of urgent classes come first. The finish tag of a waiting request
// stays the same while the tags of other classes grow with the service that
// these classes receive, so the lowest class does not starve.
//
// The package does not select targets. It performs no I/O, reads no clock and
// starts no goroutines: callers pass the time in, and no function blocks.
package fairqueue
