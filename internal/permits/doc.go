// Package permits keeps the rate limits that targets name in their answers. Such a limit
// applies to the requests of all routers together.
//
// The package has no clock, I/O or goroutine.
package permits
