// Package control carries configuration changes, ledger claims, leases and
// queries between routers and the leading control replica.
//
// At replicas a Service answers them; at plain routers a Relay passes them on,
// so that a router that reaches only another router is served too. Both take
// the same calls, and a Client at each process makes them.
package control
