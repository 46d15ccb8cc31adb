// Package quarantine protects engines against queries of death: requests that crash each
// engine that begins to answer them. It finds the part of a prompt that such requests have
// in common, or the single request that comes again, and withholds the requests with that
// part or key. Both are called parts in this package, and a key is told by its prefix.
//
// A Detector decides. It has no clock, does no I/O and starts no goroutine. Its evidence
// against a part are engines that ended before a request with the part was answered. A
// single answer to a request with the part refutes the evidence. A Guard runs the Detector
// of one router: it exchanges evidence and decisions with the other routers, logs them, and
// lets operators list and lift them.
//
// All state is soft. A router that starts requests the decisions of the others, and a fleet
// that starts as a whole collects the evidence again.
//
// Times of other routers arrive as ages, so that clocks of two routers are never compared.
package quarantine
