package configlease

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// A reply of a replica that is behind, or the loss of the lease, must not end an evacuation at
// this router.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	client := &fakeClient{}
	reply := func(revision uint64, names ...string) {
		client.set(func(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
			r, err := confirm(1)(ctx, req)
			r.Evacuations = &pb.Evacuations{Revision: revision}
			for _, name := range names {
				r.Evacuations.Evacuated = append(r.Evacuations.Evacuated, &pb.Evacuation{DataCentre: name})
			}
			return r, err
		})
	}
	client.set(confirm(1))
	run(t, client, nil, func(t *testing.T, h *Holder) {
		expect := func(what, dataCentre string, want bool) {
			t.Helper()
			time.Sleep(time.Second)
			if got := h.Evacuated(dataCentre); got != want {
				t.Errorf("%s: %s evacuated %t, want %t", what, dataCentre, got, want)
			}
		}
		expect("never evacuated", "a", false)
		reply(2, "a", "b")
		expect("the newest set", "b", true)
		reply(1, "c")
		expect("an older set", "b", true)
		expect("an older set", "c", false)
		client.set(noReply)
		time.Sleep(testLease)
		expect("without a lease", "a", true)
		reply(3, "a")
		expect("an end", "b", false)
	})
}
