// Package controller contains the reconciliation loops with which the leading control
// replica brings targets to their committed intents, and the work queue that drives
// them. It does not decide what the intents are.
//
// Reconcilers are level-triggered: a key in the queue identifies the object to check,
// never the event that occurred, and each reconciliation reads the current state again.
package controller
