// Package cost estimates the work of requests, as time at a target of usual speed, and the
// pace of targets: the time that work takes at a target relative to the usual time. It
// learns the work from observed times, and the pace from what targets report of themselves.
// Hints of clients and reports of targets may be wrong, so both have a bounded effect.
//
// The package has no I/O, clock, lock or goroutine. It does not select targets.
package cost
