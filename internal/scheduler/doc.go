// Package scheduler selects targets for requests and admits them. It implements
// filter.Scheduler.
//
// The targets of the fleet are divided into groups. Each group has one owner
// router, which decides on all requests for the group with a pool (package pool).
// The other routers send their admission requests to the owner. Owners are
// selected by rendezvous hashing and take over by an ownership claim with an
// epoch. A new owner first collects the slots that all routers hold, so that
// slots granted by its predecessor count. Each router periodically reports the
// slots that it holds to the owner (reconciliation), which repairs lost replies
// and lost releases.
//
// The package does not send requests to targets and does not track membership;
// it reads targets and routers from a fleet.View.
package scheduler
