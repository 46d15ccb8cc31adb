// Package filter is the chain that each caller's request passes: identify,
// configuration lease, limits, ledger claim, placement, admission, forward and
// answer check. Each filter is one small type in its own file.
package filter
