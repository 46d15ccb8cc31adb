// Package pool admits requests to a pool of targets. A pool is the state of the
// owner router of these targets: which targets take work, how many requests each
// has in flight, and which requests wait. It combines target selection and the
// load bound of package placement with the fair queueing of package admission.
//
// The package does not communicate with targets or other routers, and it does
// not send requests. It is pure: callers pass the time in, and no function
// blocks.
package pool
