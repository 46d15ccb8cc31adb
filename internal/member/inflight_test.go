package member

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

// seenLimits returns n limits with the largest encoding.
func seenLimits(now time.Time, n int) []permits.Seen {
	var limits []permits.Seen
	for i := range n {
		o := permits.Observation{Limit: permits.Limit{Named: true, PerSecond: 3.3}, At: now.Add(-20 * time.Second)}
		limits = append(limits, permits.Seen{Target: math.MaxUint32 - uint32(i), Observation: o})
	}
	return limits
}

// TestLimitsFitTheDatagramOfCounts guards against in-flight counts that are dropped because the
// limits of targets make their datagram too large, and logs the sizes for CAPACITY.md.
func TestLimitsFitTheDatagramOfCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	self := &pb.RouterStatus{Id: "edge-klang-valley-a-291", Incarnation: math.MaxUint64}
	for _, targets := range []int{1, 12, 100, 140, 170, 179, 180} {
		in := &pb.InFlight{Collector: "edge-klang-valley-a-290", Steps: 9}
		for i := range targets {
			in.Keys = append(in.Keys, math.MaxUint32-uint32(i))
			in.Counts = append(in.Counts, 9999)
		}
		message := &pb.Gossip{From: self.Id, Nonce: math.MaxUint32, Kind: pb.GossipKind_GOSSIP_KIND_IN_FLIGHT, InFlight: in}
		without := proto.Size(message)
		limits := seenLimits(now, MaxLimits(targets))
		setLimits(in, now, limits)
		size := proto.Size(message)
		if size > maxMessageBytes {
			t.Errorf("%d targets: %d bytes with %d limits, at most %d fit a datagram", targets, size, len(limits), maxMessageBytes)
		}
		t.Logf("%d targets: %d limits add %d bytes", targets, len(limits), size-without)
	}
	if MaxLimits(170) < 1 || MaxLimits(0) < 1 {
		t.Error("no limits are sent with the counts of 170 targets, or of none")
	}
	perSecond := 3.3
	seen := &pb.SeenLimit{AgeMs: 12000, PerSecond: &perSecond}
	for name, p := range map[string]*pb.Placing{
		"request for a permit": {Place: 1 << 20, What: &pb.Placing_PermitAsk{PermitAsk: &pb.PermitAsk{Target: math.MaxUint32, Seen: seen, Fleet: 300}}},
		"permit":               {Place: 1 << 20, What: &pb.Placing_PermitAnswer{PermitAnswer: &pb.PermitAnswer{Granted: true, Seen: seen}}},
		"report of a limit":    {What: &pb.Placing_LimitReport{LimitReport: &pb.LimitReport{Target: math.MaxUint32, Seen: seen}}},
	} {
		m := &pb.Gossip{From: self.Id, Nonce: math.MaxUint32, Kind: pb.GossipKind_GOSSIP_KIND_PLACING, Placing: p}
		t.Logf("%s: %d bytes on the wire", name, proto.Size(m)+headerBytes+packetOverheadBytes)
	}
}

// TestLimitsSurviveTheWire checks that limits and ends of limits arrive as they were sent, and
// that lists of unequal lengths are refused.
func TestLimitsSurviveTheWire(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := []permits.Seen{
		{Target: 7, Observation: permits.Observation{Limit: permits.Limit{Named: true, PerSecond: 3.3}, At: now.Add(-time.Second)}},
		{Target: 8, Observation: permits.Observation{At: now}},
		{Target: 9, Observation: permits.Observation{Limit: permits.Limit{Named: true}, At: now}},
	}
	in := &pb.InFlight{}
	setLimits(in, now, sent)
	got := limits(in, now)
	if len(got) != len(sent) || !validLimits(in) {
		t.Fatalf("%v arrived, want %v", got, sent)
	}
	for i := range sent {
		if got[i] != sent[i] {
			t.Errorf("%v arrived, want %v", got[i], sent[i])
		}
	}
	in.LimitAgesMs = in.LimitAgesMs[:2]
	if validLimits(in) {
		t.Error("lists of unequal lengths are valid")
	}
}

// TestCountsOfManyTargetsArriveWhole guards against counts of more targets than one datagram
// holds, of which each datagram replaced the one before at the receiver.
func TestCountsOfManyTargetsArriveWhole(t *testing.T) {
	const targets = 2*maxInFlightPerDatagram + 1
	view := &soloView{self: &pb.RouterStatus{Id: "r0"}}
	counts := make(map[uint32]int)
	for i := range targets {
		st := &pb.TargetStatus{Id: fmt.Sprint("e", i), Service: "llm", Capacity: 100}
		view.targets = append(view.targets, st)
		counts[balance.LoadKey(st)] = 3
	}
	b := balance.New(view, nil)
	m := &Members{onInFlight: func(router string, f InFlight) { b.ApplyCounts(router, f.Part, f.Counts) }}
	c := &core{self: &routerEntry{status: &pb.RouterStatus{Id: "r1"}}, rng: rand.New(rand.NewPCG(1, 1))}
	for _, msg := range c.inFlightMessages(time.Now(), InFlight{Counts: counts}) {
		m.handleInFlight(msg)
	}
	for key, n := range b.AggregateCounts() {
		if n != counts[key] {
			t.Errorf("%d requests at target %d, want %d", n, key, counts[key])
		}
		delete(counts, key)
	}
	if len(counts) > 0 {
		t.Errorf("the counts of %d of %d targets are missing", len(counts), targets)
	}
}

// soloView is a view with one router.
type soloView struct {
	self    *pb.RouterStatus
	targets []*pb.TargetStatus
}

func (v *soloView) Self() *pb.RouterStatus         { return v.self }
func (v *soloView) Routers() []*pb.RouterStatus    { return []*pb.RouterStatus{v.self} }
func (v *soloView) Targets() []*pb.TargetStatus    { return v.targets }
func (v *soloView) Target(string) *pb.TargetStatus { return nil }
