package member

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestPacesFitTheDatagramOfCounts guards against in-flight counts that are dropped because paces
// make their datagram too large, and against paces that a false report or an old age distorts.
func TestPacesFitTheDatagramOfCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, targets := range []int{0, 12, 90, 140, 180} {
		in := &pb.InFlight{Collector: "edge-klang-valley-a-290", Steps: 9}
		for i := range targets {
			in.Keys = append(in.Keys, math.MaxUint32-uint32(i))
			in.Counts = append(in.Counts, 9999)
		}
		message := &pb.Gossip{From: "edge-klang-valley-a-291", Nonce: math.MaxUint32, Kind: pb.GossipKind_GOSSIP_KIND_IN_FLIGHT, InFlight: in}
		limits := seenLimits(now, MaxLimits(targets)/2)
		setLimits(in, now, limits)
		var reports []cost.Report
		for i := range MaxPaces(targets, len(limits)) {
			reports = append(reports, cost.Report{Target: math.MaxUint32 - uint32(i), Percent: math.MaxInt, At: now.Add(-time.Hour)})
		}
		without := proto.Size(message)
		setPaces(in, now, reports)
		if size := proto.Size(message); size > maxMessageBytes {
			t.Errorf("%d targets: %d bytes with %d paces, at most %d fit a datagram", targets, size, len(reports), maxMessageBytes)
		}
		t.Logf("%d targets: %d paces add %d bytes", targets, len(reports), proto.Size(message)-without)
		for _, r := range paces(in, now) {
			if r.Percent != maxPacePercent || now.Sub(r.At) != maxPaceAgeMs*time.Millisecond {
				t.Fatalf("received as %+v", r)
			}
		}
	}
	if MaxPaces(90, 0) < maxPaces {
		t.Errorf("%d paces are sent with the counts of 90 targets", MaxPaces(90, 0))
	}
	if validPaces(&pb.InFlight{PacedTargets: []uint32{1}, PacePercents: []uint32{100}}) {
		t.Error("a list of paces without ages is accepted")
	}
}
