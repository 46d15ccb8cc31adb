// Package member keeps what a router knows of the other routers and of the
// targets: failure detection, dissemination and leases on targets.
//
// Routers exchange datagrams, since at the size to design for no process can
// hold sessions to all others. Each router probes the others in random order;
// one that doesn't answer, not even through helpers, is suspected, and
// declared dead unless it refutes the suspicion. News spreads as deltas on
// probes and their answers; digests on them find views that differ.
//
// News of a target and the proof that it is alive travel apart. A status may
// be pushed by anyone. A lease is renewed only by the answer to a router's own
// question, which carries the age of the target's last announcement; the
// asker counts that age from when it asked. So no delay of any datagram and no
// pause of any process lengthens a lease.
package member
