// Package pool admits requests to a group of targets.
//
// One router, the owner of the group, decides on all requests for its targets. A
// Pool is the state on which the owner decides: which targets take work, how many
// requests each target has in flight, and which requests wait. A request that is
// admitted holds a slot at a target until the slot is released. Package placement
// selects the target within a load bound. If no target has a free slot, the
// request waits in a queue of package fairqueue.
//
// The targets that can serve the same model or service form a lane. Each lane has
// one queue. A customer's share of a lane is the part of the lane's capacity that
// corresponds to the customer's weight. A reserved part of the capacity admits
// only customers within their share.
//
// The package performs no I/O, reads no clock and starts no goroutines: callers
// pass the time in, and no function blocks. Package scheduler selects the owner
// and makes the calls between routers.
package pool
