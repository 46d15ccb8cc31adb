// Package scheduler selects targets for requests and admits the requests to them.
// Type Scheduler implements filter.Scheduler.
//
// The targets of the fleet are divided into groups (the layout). Engines form as few
// groups as their number permits, and each service is a group. Each group has one owner
// router, which decides on all requests for the group with a pool (package pool). The
// other routers send their admission requests to the owner.
//
// While no owner is known, the first candidate is the serving router with the
// highest rendezvous score for the group. A router becomes the owner by an
// ownership claim with an epoch: the claim with the highest epoch wins. The owner
// keeps the group until it drains, ends or can't be reached, also if another router
// has a higher score, since each change of the owner costs a handover. Before a new
// owner admits requests, it collects the slots that all routers hold, so that slots
// granted by the previous owner count.
//
// Each router periodically reports the slots that it holds to the owner
// (reconciliation). This repairs the effects of lost replies and lost releases.
//
// The package does not send requests to targets and does not track membership:
// it reads targets and routers from a fleet.View.
package scheduler
