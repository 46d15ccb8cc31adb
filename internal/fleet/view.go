// Package fleet holds what several packages share about routers and targets:
// the view interface and rendezvous hashing.
package fleet

import (
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// View is a router's present knowledge of the fleet. Messages it returns are
// shared and must not be changed.
type View interface {
	// Self returns this router's own status.
	Self() *pb.RouterStatus
	// Routers returns the routers believed alive, this one included, by id.
	Routers() []*pb.RouterStatus
	// Targets returns the targets whose lease at this router holds, by id.
	// Leaving targets are included and carry Leaving.
	Targets() []*pb.TargetStatus
	// Target returns one target, or nil if its lease at this router ended.
	Target(id string) *pb.TargetStatus
}
