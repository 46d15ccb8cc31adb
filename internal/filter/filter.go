// Package filter is the chain that each caller's request passes: configuration
// lease, identify, catalog, limits, ledger claim, schedule (placement and
// admission), answer check and forward. Each filter is one small type in its
// own file; DefaultSpec is the chain as data.
package filter
