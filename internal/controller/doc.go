// Package controller contains the reconciler with which the leading control replica
// brings targets to the state that their committed intents specify, and the work queue
// that runs the reconciler. The package does not decide what the intents are.
//
// Reconcilers are level-triggered: a key in the queue identifies the object to check,
// never the event that occurred, and each reconciliation reads the current state again.
package controller
