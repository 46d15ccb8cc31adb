// Package state implements the replicated state machine of the control
// replicas. The state consists of the customers' contracts, the desired states of
// the targets (intents), the history of accepted changes, the results of
// operators' operations (for deduplication), the routing table, and the ledger of
// idempotency claims for non-idempotent requests. Replication, persistence of the
// log and network access are not part of this package.
//
// Apply is deterministic: the only clock is the time in the log entries, and all
// bounds are constants or Bounds, which are equal at all replicas. All replicas
// therefore hold equal state after the same entries.
//
// Ages are measured in elapsed log time: the sum of the steps between the times
// of successive log entries, where each step counts for at most
// maxElapsedPerEntry.
package state
