package member

import (
	"testing"
	"time"
)

// A router that misses the push of a new set of evacuations must learn of the revision from
// other routers' own messages within a second: until then it sends requests to an evacuated
// data centre. A later status of a router must not lower its revision.
func TestEvacuationRevisionsReachOthers(t *testing.T) {
	w := newSimulation(time.Hour, 1, 92, 10, 4)
	w.shareViews()
	w.run(3 * time.Second)
	for revision := uint64(1); revision <= 3; revision++ {
		missed := w.nodes[int(revision)*7]
		for _, n := range w.nodes {
			if n != missed {
				n.core.setEvacuations(revision)
			}
		}
		w.run(time.Second)
		known := 0
		for _, r := range missed.core.routerView().routers {
			if r.Evacuations == revision {
				known++
			}
		}
		if known == 0 {
			t.Errorf("revision %d: the router that missed it knows no router that has it", revision)
		}
		missed.core.setEvacuations(revision)
	}
	node := w.nodes[0].core
	id := w.nodes[1].status.Id
	node.recordEvacuations(id, 9)
	old := node.routers[id]
	d := old.delta()
	d.Status = withEvacuations(d.Status, 1)
	d.Status.Version++
	node.mergeRouter(w.now, d)
	if got := node.routers[id].status; got.Evacuations != 9 || got.Version != d.Status.Version {
		t.Errorf("after a later status: %v, want revision 9", got)
	}
}
