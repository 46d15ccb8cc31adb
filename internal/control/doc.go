// Package control implements the calls between routers and the leading control
// replica: configuration changes, ledger claims, configuration leases, queries
// and changes of the replica set.
//
// A Client in each process makes the calls. A Service at each control replica
// handles them if the replica leads, and otherwise forwards them to the leader. A
// Relay at each other router forwards them to the replicas, so that a router that
// can reach only another router still reaches the leader. Service and Relay
// register the same methods.
//
// Consensus, persistence and the rules of the state machine are not part of this
// package; see packages replica and state. The routers' side of a lease is in
// package configlease.
package control
