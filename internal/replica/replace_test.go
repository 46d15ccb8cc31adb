package replica

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func TestReplacedVoter(t *testing.T) {
	voter := func(id string) *pb.Member { return &pb.Member{Id: id} }
	learner := func(id string) *pb.Member { return &pb.Member{Id: id, Learner: true} }
	for name, c := range map[string]struct {
		members []*pb.Member
		silent  []string
		want    string
	}{
		"all alive":               {[]*pb.Member{voter("a"), voter("b"), voter("c"), voter("d")}, nil, ""},
		"one replaced":            {[]*pb.Member{voter("a"), voter("b"), voter("c"), voter("d")}, []string{"b"}, "b"},
		"one cut, none joined":    {[]*pb.Member{voter("a"), voter("b"), voter("c")}, []string{"b"}, ""},
		"the successor is not in": {[]*pb.Member{voter("a"), voter("b"), voter("c"), learner("d")}, []string{"b"}, ""},
		"two silent":              {[]*pb.Member{voter("a"), voter("b"), voter("c"), voter("d"), voter("e"), voter("f")}, []string{"a", "b"}, ""},
		"too few would be left":   {[]*pb.Member{voter("a"), voter("b")}, []string{"b"}, ""},
	} {
		silence := func(id string) time.Duration {
			for _, s := range c.silent {
				if s == id {
					return time.Minute
				}
			}
			return 0
		}
		got := replacedVoter(&pb.Membership{Members: c.members}, silence, 10*time.Second)
		if got.GetId() != c.want {
			t.Errorf("%s: removes %q, want %q", name, got.GetId(), c.want)
		}
	}
}

// openAdmission lets replicas join without an operator.
func openAdmission(cfg *Config) {
	cfg.OpenAdmission = true
	cfg.Peers = func() []string { return nil }
}

// TestReplacedReplicaIsRemoved stops one of three replicas for good and starts
// another at a new address with an empty folder: it becomes a voter, and the lost
// one is removed. The lost one returns after that and is admitted again.
func TestReplacedReplicaIsRemoved(t *testing.T) {
	f := newFleet(t, 3, openAdmission)
	want := commitMany(f, nil, 20)
	leader := f.leader()
	lost := f[0]
	if lost == leader {
		lost = f[1]
	}
	lostID := lost.node.ID()
	lost.stop()
	added := &instance{t: t, addr: freeAddr(t), dir: t.TempDir(), founders: f[0].founders, edit: func(cfg *Config) {
		openAdmission(cfg)
		cfg.JoinOnly = true
	}}
	added.start()
	t.Cleanup(added.stop)
	all := append(f, added)
	named := func(id string) (present, voter bool) {
		for _, r := range all.leader().node.Replicas() {
			if r.Id == id {
				return true, !r.Learner
			}
		}
		return false, false
	}
	eventually(t, "the new replica is a voter", func() bool {
		_, voter := named(added.node.ID())
		return voter
	})
	eventually(t, "the lost replica is removed", func() bool {
		present, _ := named(lostID)
		return !present
	})
	requireHeld(t, added, commitMany(all, want, 5))
	lost.start()
	eventually(t, "the removed replica is a voter again", func() bool {
		_, voter := named(lostID)
		return voter
	})
}
