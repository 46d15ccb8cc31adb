// Package member implements the fleet membership of one router. It detects failed
// routers, disseminates the status of routers and targets by gossip, and keeps this
// router's leases on targets. Its datagrams also carry in-flight counts and placement
// messages, which it passes to callbacks without interpreting them. It does not select
// targets and does not replicate the configuration.
//
// Routers exchange datagrams instead of holding connections, because a process cannot
// hold sessions to all other routers of a fleet of the intended size. Failure detection
// follows SWIM: each router probes the others in random order. A router that
// acknowledges neither a direct nor an indirect probe is suspected, and declared dead
// unless it refutes the suspicion. Changes are piggybacked as deltas on probes and
// their acknowledgements. Digests on these messages reveal views that differ, which an
// anti-entropy sync reconciles.
//
// The status of a target and the proof that the target is alive travel separately. Any
// router may push a status. A lease is renewed only by the reply to a request of this
// router. The reply carries the age of the target's last announcement. This router
// takes the time at which it sent the request minus this age as the time of the
// announcement, so no delay of a datagram and no pause of a process extends a lease.
package member
