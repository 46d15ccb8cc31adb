// Package consensus is the agreement core of the replicated log: a pure state
// machine in the manner of Raft, with pre-vote, check-quorum, confirmation
// rounds for reads, learners and membership changes one voter at a time.
//
// The core has no clock, no I/O and no goroutine. Its inputs are ticks,
// messages and proposals; its output is a Ready, which the caller carries out
// in the order that Ready documents and then confirms with Advance.
package consensus
