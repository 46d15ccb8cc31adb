// Package pool is the state of a pool of targets at the router that admits
// requests to them: which targets take work, what each has in flight, and who
// waits. It joins placement, the load bound and fair queueing. It is pure:
// callers pass the time in, and no function blocks.
package pool
