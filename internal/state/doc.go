// Package state is the replicated state machine: contracts, target intents,
// their history, the answers to operators' operations, and the ledger of
// non-idempotent requests.
//
// Apply is deterministic. The only clock it knows is the time in the log
// entries, and every bound is a constant or a count, so that all replicas hold
// equal state after the same entries.
package state
