package replica

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// smallSnapshots makes a snapshot every few entries.
func smallSnapshots(cfg *Config) { cfg.SnapshotEntries = 25 }

func commitMany(f cluster, want []string, n int) []string {
	for range n {
		s := fmt.Sprintf("command %d", len(want))
		f.propose(s)
		want = append(want, s)
	}
	return want
}

// voters counts the voters that the leader knows.
func (f cluster) voters() int {
	n := 0
	for _, r := range f.leader().node.Replicas() {
		if !r.Learner {
			n++
		}
	}
	return n
}

func TestEmptiedFounderRejoinsUnderNewIdentity(t *testing.T) {
	f := newCluster(t, 3, smallSnapshots)
	want := commitMany(f, nil, 100)
	lost := f[1]
	oldID := lost.node.ID()
	lost.stop()
	lost.emptyDir()
	lost.start()
	eventually(t, "the new identity is a voter", func() bool {
		for _, r := range f.leader().node.Replicas() {
			if r.Id == oldID {
				return false
			}
			if r.Id == lost.node.ID() && !r.Learner {
				return true
			}
		}
		return false
	})
	requireApplied(t, lost, want)
	if n := f.voters(); n != 3 {
		t.Fatalf("%d voters, want 3", n)
	}
	// The loss of a second one right after the repair loses nothing.
	f[0].stop()
	want = commitMany(f, want, 5)
	requireApplied(t, lost, want)
}

func TestEmptiedMinorityFormsNoSystem(t *testing.T) {
	f := newCluster(t, 3, nil)
	want := commitMany(f, nil, 3)
	for _, in := range f {
		in.stop()
	}
	f[0].emptyDir()
	f[0].start()
	time.Sleep(3 * pollInterval)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, _, err := f[0].node.Propose(ctx, []byte("alone")); err == nil {
		t.Fatal("an emptied minority committed a command")
	}
	f[1].start()
	f[2].start()
	want = commitMany(f, want, 1)
	requireApplied(t, f[0], want)
}

func TestAddAndRemoveReplica(t *testing.T) {
	f := newCluster(t, 3, smallSnapshots)
	want := commitMany(f, nil, 60)
	added := &instance{t: t, addr: freeAddr(t), dir: t.TempDir(), founders: f[0].founders, edit: smallSnapshots}
	added.start()
	t.Cleanup(added.stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.leader().node.AddReplica(ctx, "", added.addr, ""); err != nil {
		t.Fatal(err)
	}
	eventually(t, "four voters", func() bool { return f.voters() == 4 })
	requireApplied(t, added, want)
	all := append(f, added)
	leader := all.leader()
	eventually(t, "the leader is removed", func() bool {
		err := leader.node.RemoveReplica(ctx, leader.node.ID())
		// A leader that has not heard of the others for an election's time, as on a
		// machine that stood still, refuses and changes nothing.
		if err != nil && !errors.Is(err, ErrQuorumAtRisk) {
			t.Fatal(err)
		}
		return err == nil
	})
	eventually(t, "the removed leader leads no more", func() bool {
		_, _, ok := leader.node.LeaderLease()
		return !ok
	})
	leader.stop()
	want = commitMany(all, want, 5)
	eventually(t, "three voters", func() bool { return all.voters() == 3 })
	requireApplied(t, added, want)
}

// TestRemovalNeedsALiveQuorum refuses to remove one of three replicas while another is
// silent, changes nothing by that, and removes it once the other is back.
func TestRemovalNeedsALiveQuorum(t *testing.T) {
	f := newCluster(t, 3, nil)
	leader := f.leader()
	var others []*instance
	for _, in := range f {
		if in != leader {
			others = append(others, in)
		}
	}
	silent, removed := others[0], others[1]
	id := removed.node.ID()
	silent.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	time.Sleep(2 * electionTicks * leader.node.cfg.TickInterval)
	if err := leader.node.RemoveReplica(ctx, id); !errors.Is(err, ErrQuorumAtRisk) {
		t.Errorf("removal while another is silent: %v, want %v", err, ErrQuorumAtRisk)
	}
	if n := len(leader.node.Replicas()); n != 3 {
		t.Errorf("%d replicas after a refused removal", n)
	}
	silent.start()
	eventually(t, "the replica is removed", func() bool { return f.leader().node.RemoveReplica(ctx, id) == nil })
}

func TestJoinDoesNotReplaceALiveReplica(t *testing.T) {
	f := newCluster(t, simFounders, nil)
	leader := f.leader()
	before := leader.node.Replicas()
	for _, in := range f {
		if in == leader {
			continue
		}
		req := &pb.JoinRequest{Group: 1, Member: &pb.Member{Id: "other", Addr: in.addr}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := in.pool.Call(ctx, leader.addr, leader.node.method("join"), req, &pb.JoinReply{})
		cancel()
		if err == nil {
			t.Fatal("a join in the name of a live replica was admitted")
		}
	}
	if after := leader.node.Replicas(); len(after) != len(before) || after[0].Id != before[0].Id || after[2].Id != before[2].Id {
		t.Fatalf("the membership changed from %v to %v", before, after)
	}
}
