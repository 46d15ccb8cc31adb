package control

import "github.com/wigeonwood/wigeonwood/internal/pb"

// ReplicaWithoutEvacuation returns a replica that does not announce that its build applies
// SetEvacuation, nil if there is none. While there is one, no order may be submitted: the
// replica would skip its entry and lack the order after its upgrade.
func ReplicaWithoutEvacuation(routers []*pb.RouterStatus) *pb.RouterStatus {
	for _, r := range routers {
		if r.Replica && !r.SupportsEvacuation {
			return r
		}
	}
	return nil
}
