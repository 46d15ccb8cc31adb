// Package simulation compares strategies that assign and admit requests on a seeded trace
// of returning chats. It runs the decision code of the routers (packages placement and
// pool) on a virtual clock; engines, load reports and callers are simulated, and
// nothing is sent over a network.
//
//	go test ./internal/placement/measure -run TestTable -v -args -table
//
// prints the table of docs/design/placement.md.
package simulation
