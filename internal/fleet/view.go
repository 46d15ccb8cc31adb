// Package fleet defines the View interface, through which other packages read the
// routers and targets known to the local router. It also contains rendezvous
// hashing and a helper for concurrent calls to routers. The package does not
// maintain the membership.
package fleet

import (
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// View provides the current membership of the fleet as known to the local router.
// The returned messages are shared and must not be modified.
type View interface {
	// Self returns the status of the local router.
	Self() *pb.RouterStatus
	// Routers returns the routers considered alive, including the local one,
	// sorted by id.
	Routers() []*pb.RouterStatus
	// Targets returns the targets with a valid lease at the local router, sorted
	// by id. Targets that are leaving are included, with the field Leaving set.
	Targets() []*pb.TargetStatus
	// Target returns the target with this id, or nil if its lease at the local
	// router has expired.
	Target(id string) *pb.TargetStatus
}
