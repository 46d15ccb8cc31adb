// Package configlease keeps a router's copy of the configuration and the lease
// under which the router may use it. A Holder polls the leader of the control
// replicas for changes and for a new lease.
//
// A lease proves that a quorum confirmed the revision of the lease after the
// router had sent its lease request. The lease duration starts when the request is
// sent, not when the reply arrives. Without a lease the router must not accept new
// work, since a newer revision may be active at other routers.
//
// The package does not find the leader and does not persist the configuration.
package configlease
