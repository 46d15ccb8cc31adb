// Package configlease keeps a router's copy of the configuration and the lease
// under which the router may use it.
//
// The lease is evidence that a quorum confirmed the held revision after the
// router asked, and it counts from when the router asked. Without it the
// router must take no new work, since a newer revision may be in force.
package configlease
