package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// FuzzReceive passes a core arbitrary messages that are valid in shape: the core must
// neither fail nor send more than the budget or a datagram allows, which the invariants
// in the core and the budget assert.
func FuzzReceive(f *testing.F) {
	for _, m := range []*pb.Gossip{
		{Kind: pb.GossipKind_GOSSIP_KIND_PING, From: "b", Nonce: 1, WantLoads: true},
		{Kind: pb.GossipKind_GOSSIP_KIND_ACK, From: "b", Nonce: 2, Renewals: &pb.Renewals{Keys: []uint64{1}, Ages: []byte{1}, Leaving: []uint32{0}}},
		{Kind: pb.GossipKind_GOSSIP_KIND_PING_REQUEST, From: "b", Subject: "10.0.0.3:1"},
		{Kind: pb.GossipKind_GOSSIP_KIND_SYNC, From: "b", Buckets: []uint32{1, 2}},
		{Kind: pb.GossipKind_GOSSIP_KIND_UPDATE, From: "b", Routers: []*pb.RouterDelta{
			{Status: &pb.RouterStatus{Id: "a"}, Generation: 9, Dead: true},
			{Status: &pb.RouterStatus{Id: "b", PeerAddr: "10.0.0.2:1"}, Generation: 1, Suspect: true},
		}, Targets: []*pb.TargetDelta{{Status: &pb.TargetStatus{Id: "t", Incarnation: 1, Leaving: true}}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload) > maxMessageBytes {
			return
		}
		m, err := parseMessage(payload)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		b := budget.New(budget.Config{})
		c := newCore(coreConfig{
			self:  &pb.RouterStatus{Id: "a", Incarnation: 1, PeerAddr: "10.0.0.1:1"},
			rng:   rand.New(rand.NewPCG(1, 2)),
			allow: b.AllowAt,
			rate:  b.Rate(),
		}, now)
		for range 3 {
			c.receive(now, "10.0.0.2:1", m)
			c.tick(now)
			c.routerView()
			c.targetView(now)
			now = now.Add(time.Second)
		}
		for _, p := range c.drainPackets() {
			if _, err := newCodec("secret").encode(p.msg); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzDecode passes the codec arbitrary bytes; only signed datagrams may be accepted.
func FuzzDecode(f *testing.F) {
	codec := newCodec("secret")
	good, err := codec.encode(&pb.Gossip{From: "b"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:headerBytes])
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if _, err := codec.decode(datagram); err == nil && string(datagram[1:headerBytes]) != string(codec.sum(datagram[headerBytes:])) {
			t.Fatal("an unsigned datagram was accepted")
		}
	})
}
