// Package consensus implements the Raft consensus algorithm as a pure state machine:
// leader election with pre-vote and check-quorum, log replication, linearizable reads
// (ReadIndex), snapshots, learners, and membership changes of one voter at a time.
//
// The package has no clock, performs no I/O and starts no goroutine. A Core takes
// ticks, messages and proposals as input. Its output is a Ready, which the caller
// processes in the order that Ready documents and then confirms with Advance. Storage
// (package journal), the transport and the applied state machine belong to the caller.
package consensus
