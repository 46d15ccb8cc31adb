package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// founder models one founder during the bootstrap: the contents of its directory and
// the replies of its current poll.
type founder struct {
	addr        string
	id          string
	incarnation int
	accepted    *pb.Membership
	running     *pb.Membership
	joined      bool
	replies     map[string]*pb.HelloReply
}

func (f *founder) hello() *pb.HelloReply {
	r := &pb.HelloReply{Id: f.id, Addr: f.addr, Membership: f.accepted}
	switch {
	case f.running != nil:
		r.State = pb.FormationState_FORMATION_STATE_RUNNING
	case f.accepted != nil:
		r.State = pb.FormationState_FORMATION_STATE_PREPARED
	}
	return r
}

// emptyDir models the loss of the directory. The founder gets a new identity.
func (f *founder) emptyDir() {
	f.incarnation++
	*f = founder{addr: f.addr, id: fmt.Sprintf("%s/%d", f.addr, f.incarnation), incarnation: f.incarnation}
}

// decide applies the decision on the replies received so far and starts a new poll.
func (f *founder) decide(founders []string) {
	replies := f.replies
	f.replies = nil
	if f.running != nil || f.joined {
		return
	}
	d := decideFormation(&pb.Member{Id: f.id, Addr: f.addr}, founders, f.accepted, replies)
	switch d.step {
	case formationAccept:
		f.accepted = d.membership
	case formationStart:
		f.accepted, f.running = d.membership, d.membership
	case formationJoin:
		f.accepted, f.joined = nil, true
	}
}

// TestFormationMakesOneSystem interleaves the polls of the founders reply by reply,
// and empties the directory of one founder at random moments. At most one cluster (the
// system in its name) may be formed, however often the directory is emptied. If it is
// emptied at most once, all founders must also finish the bootstrap.
func TestFormationMakesOneSystem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		n := rapid.SampledFrom([]int{3, 5}).Draw(rt, "founders")
		emptied := rapid.IntRange(0, n-1).Draw(rt, "emptied")
		times := rapid.IntRange(0, 3).Draw(rt, "times")
		mustFinish := times <= 1
		var all []*founder
		var addrs []string
		for i := range n {
			f := &founder{addr: fmt.Sprint("founder", i)}
			f.emptyDir()
			all = append(all, f)
			addrs = append(addrs, f.addr)
		}
		// requireAll fails unless every founder accepted m or has a new identity.
		requireAll := func(m *pb.Membership) {
			for _, member := range m.Members {
				for _, f := range all {
					if f.id == member.Id && !proto.Equal(f.accepted, m) {
						rt.Fatalf("a cluster was formed without %s", f.id)
					}
				}
			}
		}
		var started []*pb.Membership
		step := func() {
			f := all[r.IntN(n)]
			if r.IntN(n) == 0 {
				ran := f.running != nil
				f.decide(addrs)
				if !ran && f.running != nil {
					requireAll(f.running)
				}
			} else if other := all[r.IntN(n)]; other != f {
				if f.replies == nil {
					f.replies = make(map[string]*pb.HelloReply)
				}
				f.replies[other.addr] = other.hello()
			}
			if f.running != nil {
				started = append(started, f.running)
			}
		}
		for i := range 400 {
			if times > 0 && i%20 == r.IntN(20) {
				times--
				all[emptied].emptyDir()
			}
			step()
		}
		for range 2000 {
			step()
		}
		for _, m := range started {
			if !proto.Equal(m, started[0]) {
				rt.Fatalf("two clusters were formed: %v and %v", started[0], m)
			}
		}
		for _, f := range all {
			if mustFinish && f.running == nil && !f.joined {
				rt.Fatalf("%s neither runs nor joins; it accepted %v", f.id, f.accepted)
			}
		}
	})
}

// TestEmptiedFounderWaitsForAll checks that a founder with an empty directory
// proposes a membership only if all other founders are empty too, and joins a
// cluster that runs already.
func TestEmptiedFounderWaitsForAll(t *testing.T) {
	founders := []string{"a", "b", "c"}
	empty := func(addr string) *pb.HelloReply { return &pb.HelloReply{Id: addr + "1", Addr: addr} }
	replies := map[string]*pb.HelloReply{"b": empty("b")}
	self := &pb.Member{Id: "a1", Addr: "a"}
	if d := decideFormation(self, founders, nil, replies); d.step != formationWait {
		t.Fatalf("with one of two replies, an empty founder decided %v", d)
	}
	replies["c"] = empty("c")
	if d := decideFormation(self, founders, nil, replies); d.step != formationAccept {
		t.Fatalf("with empty replies from both founders, an empty founder decided %v", d)
	}
	replies["c"].State = pb.FormationState_FORMATION_STATE_PREPARED
	if d := decideFormation(self, founders, nil, replies); d.step != formationWait {
		t.Fatalf("with a reply of a prepared founder, an empty founder decided %v", d)
	}
	replies["c"].State = pb.FormationState_FORMATION_STATE_RUNNING
	if d := decideFormation(self, founders, nil, replies); d.step != formationJoin {
		t.Fatalf("with a reply of a running founder, an empty founder decided %v", d)
	}
}

// TestEmptiedAndNewReplicasAloneServeNothing guards against replicas with empty directories
// that form a cluster, or serve an empty state as the newest one, while those that hold the
// log have no power.
func TestEmptiedAndNewReplicasAloneServeNothing(t *testing.T) {
	const (
		// darkFor is several polls of the founders and join requests, and an election timeout.
		darkFor     = 2 * time.Second
		callTimeout = 200 * time.Millisecond
	)
	for _, c := range []struct {
		replicas, emptied, added int
		// bootstrap is set if the emptied replicas may still form a cluster.
		bootstrap bool
		// quorumLost is set if a majority of the directories is empty.
		quorumLost bool
	}{
		{replicas: 5, emptied: 2, added: 2},
		{replicas: 5, emptied: 2, added: 2, bootstrap: true},
		{replicas: 3, emptied: 2, added: 1, quorumLost: true},
		{replicas: 3, emptied: 2, added: 1, bootstrap: true, quorumLost: true},
	} {
		t.Run(fmt.Sprintf("%d of %d emptied, %d new, bootstrap %t", c.emptied, c.replicas, c.added, c.bootstrap), func(t *testing.T) {
			t.Parallel()
			all := newCluster(t, c.replicas, openAdmission)
			want := commitMany(all, nil, 3)
			for _, in := range all {
				in.stop()
			}
			empty := slices.Clone(all[:c.emptied])
			for _, in := range empty {
				in.emptyDir()
				in.edit = func(cfg *Config) {
					openAdmission(cfg)
					cfg.JoinOnly = !c.bootstrap
				}
			}
			for range c.added {
				added := &instance{t: t, addr: testkit.FreeAddr(t), dir: t.TempDir(), founders: all[0].founders, edit: func(cfg *Config) {
					openAdmission(cfg)
					cfg.JoinOnly = true
				}}
				t.Cleanup(added.stop)
				empty = append(empty, added)
			}
			for _, in := range empty {
				in.start()
			}
			requireNoService := func(replicas []*instance) {
				t.Helper()
				for end := time.Now().Add(darkFor); time.Now().Before(end); {
					for _, in := range replicas {
						ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
						if _, _, err := in.node.Propose(ctx, []byte("alone")); err == nil {
							t.Fatalf("%s commits a command", in.addr)
						}
						if _, err := in.node.ReadIndex(ctx); err == nil {
							t.Fatalf("%s serves a read", in.addr)
						}
						cancel()
					}
					time.Sleep(pollInterval / 5)
				}
			}
			requireNoService(empty)
			for _, in := range all[c.emptied:] {
				in.start()
			}
			if c.quorumLost {
				requireNoService(append(empty, all[c.emptied:]...))
				return
			}
			want = commitMany(append(slices.Clone(empty), all[c.emptied:]...), want, 1)
			for _, in := range empty {
				requireApplied(t, in, want)
			}
		})
	}
}
