// Package simulation is a discrete-event simulation that compares strategies for admitting
// requests and assigning them to engines. Each strategy handles the same seeded trace of
// returning chats, with and without faults. The results are the reuse of cached prefixes,
// the distribution of the load, the waiting times, and the traffic between routers.
//
// The simulation runs the decision code of the routers (packages placement and pool) on a
// virtual clock. Engines, load reports and callers are simulated, and nothing is sent over
// a network.
//
//	go test ./internal/placement/simulation -run TestTable -v -args -table
//
// prints the table of docs/design/placement.md.
package simulation
