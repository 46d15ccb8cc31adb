// Package configlease keeps a router's copy of the configuration and the lease
// under which the router may use it. A Holder polls the leader of the control
// replicas for changes and for a new lease.
//
// The lease proves that a quorum confirmed the router's revision after the
// router sent its request, and its time runs from the moment of sending. Without
// a lease the router must not accept new work, since a newer revision may be
// active elsewhere.
//
// The package does not find the leader and does not persist the configuration.
package configlease
