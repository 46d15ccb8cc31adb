// Package fleet contains what several packages share about routers and targets:
// the View interface to the known members, rendezvous hashing and a helper for
// concurrent calls to routers. It does not maintain the membership itself.
package fleet

import (
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// View is a router's current knowledge of the fleet. The returned messages are
// shared and must not be modified.
type View interface {
	// Self returns the status of the local router.
	Self() *pb.RouterStatus
	// Routers returns the routers considered alive, including the local one,
	// sorted by id.
	Routers() []*pb.RouterStatus
	// Targets returns the targets with a valid lease at the local router, sorted
	// by id. Targets that are leaving are included; their field Leaving is set.
	Targets() []*pb.TargetStatus
	// Target returns the target with this id, or nil if its lease at the local
	// router has expired.
	Target(id string) *pb.TargetStatus
}
