// Package filter is the chain of filters that each caller's request passes. DefaultSpec
// is the chain of a router that works from contracts: configuration lease, identify,
// catalog, limits, ledger claim, schedule (placement and admission), answer check and
// forward. RoutedSpec is the chain for requests that a routing table decides on: route,
// team, body, quarantine, dispatch, trial and forward. Each filter is one small type in its
// own file.
//
// The package does not read callers' requests, write answers to callers or speak HTTP
// to targets. Packages router, gateway and forward do.
package filter
