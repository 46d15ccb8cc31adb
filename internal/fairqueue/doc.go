// Package fairqueue orders the requests that wait for a slot at a target. It
// does not select targets and does not start goroutines. It is pure: callers
// pass the time in, and no function blocks.
//
// Two levels of weighted fair queueing decide the order. The outer level
// selects the customer that has received the least service relative to its
// weight, so that one customer's surge lengthens only its own queue. The inner
// level shares a customer's service between its priority classes by class
// weight and request cost: short requests of urgent classes come first. A
// waiting request keeps its finish tag while the tags of busier classes grow,
// so the lowest class does not starve.
package fairqueue
