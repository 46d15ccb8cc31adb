// Package measure compares ways to place and admit requests on one seeded
// trace of returning chats. It drives the decisions that the running routers
// use; engines, reports and callers are small fakes on a virtual clock.
//
//	go test ./internal/placement/measure -run TestTable -v -args -table
//
// prints the table of docs/design/placement.md.
package measure
