package replica

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// smallSnapshots makes replicas take a snapshot every 25 entries.
func smallSnapshots(cfg *Config) { cfg.SnapshotEntries = 25 }

func commitMany(c cluster, want []string, n int) []string {
	for range n {
		s := fmt.Sprintf("command %d", len(want))
		c.propose(s)
		want = append(want, s)
	}
	return want
}

// voters returns the number of voters in the leader's membership.
func (c cluster) voters() int {
	n := 0
	for _, r := range c.leader().node.Replicas() {
		if !r.Learner {
			n++
		}
	}
	return n
}

// TestEmptiedFounderRejoinsUnderNewIdentity checks that a replica that has lost its
// directory replaces its former identity as a voter, so that the cluster tolerates
// the loss of another replica again.
func TestEmptiedFounderRejoinsUnderNewIdentity(t *testing.T) {
	c := newCluster(t, 3, smallSnapshots)
	want := commitMany(c, nil, 100)
	lost := c[1]
	oldID := lost.node.ID()
	lost.stop()
	lost.emptyDir()
	lost.start()
	eventually(t, "the new identity is a voter", func() bool {
		for _, r := range c.leader().node.Replicas() {
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
	if n := c.voters(); n != 3 {
		t.Fatalf("%d voters, want 3", n)
	}
	// The loss of a second replica right after the repair loses no command.
	c[0].stop()
	want = commitMany(c, want, 5)
	requireApplied(t, lost, want)
}

// TestEmptiedMinorityFormsNoSystem guards against a founder that, after the loss of
// its directory, forms a second cluster while the other founders are down.
func TestEmptiedMinorityFormsNoSystem(t *testing.T) {
	c := newCluster(t, 3, nil)
	want := commitMany(c, nil, 3)
	for _, in := range c {
		in.stop()
	}
	c[0].emptyDir()
	c[0].start()
	time.Sleep(3 * pollInterval)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, _, err := c[0].node.Propose(ctx, []byte("alone")); err == nil {
		t.Fatal("an emptied minority committed a command")
	}
	c[1].start()
	c[2].start()
	want = commitMany(c, want, 1)
	requireApplied(t, c[0], want)
}

func TestAddAndRemoveReplica(t *testing.T) {
	c := newCluster(t, 3, smallSnapshots)
	want := commitMany(c, nil, 60)
	added := &instance{t: t, addr: testkit.FreeAddr(t), dir: t.TempDir(), founders: c[0].founders, edit: smallSnapshots}
	added.start()
	t.Cleanup(added.stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := c.leader().node.AddReplica(ctx, "", added.addr, ""); err != nil {
		t.Fatal(err)
	}
	eventually(t, "four voters", func() bool { return c.voters() == 4 })
	requireApplied(t, added, want)
	all := append(c, added)
	leader := all.leader()
	eventually(t, "the leader is removed", func() bool {
		err := leader.node.RemoveReplica(ctx, leader.node.ID())
		// A leader that has received no message from the other replicas for an
		// election timeout, for example on an overloaded machine, refuses the
		// removal and changes nothing.
		if err != nil && !errors.Is(err, ErrQuorumAtRisk) {
			t.Fatal(err)
		}
		return err == nil
	})
	eventually(t, "the removed leader has no lease", func() bool {
		_, _, ok := leader.node.LeaderLease()
		return !ok
	})
	leader.stop()
	want = commitMany(all, want, 5)
	eventually(t, "three voters", func() bool { return all.voters() == 3 })
	requireApplied(t, added, want)
}

// TestRemovalNeedsALiveQuorum checks that the leader refuses to remove one of three
// replicas while another is down, that the refusal changes nothing, and that the
// removal succeeds once the other replica is back.
func TestRemovalNeedsALiveQuorum(t *testing.T) {
	c := newCluster(t, 3, nil)
	leader := c.leader()
	var others []*instance
	for _, in := range c {
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
		t.Errorf("removal while another replica is down: %v, want %v", err, ErrQuorumAtRisk)
	}
	if n := len(leader.node.Replicas()); n != 3 {
		t.Errorf("%d replicas after a refused removal", n)
	}
	silent.start()
	eventually(t, "the replica is removed", func() bool { return c.leader().node.RemoveReplica(ctx, id) == nil })
}

// TestJoinDoesNotReplaceALiveReplica guards against a join request that gives the
// address of a live replica and would replace that replica.
func TestJoinDoesNotReplaceALiveReplica(t *testing.T) {
	c := newCluster(t, simFounders, nil)
	leader := c.leader()
	before := leader.node.Replicas()
	for _, in := range c {
		if in == leader {
			continue
		}
		req := &pb.JoinRequest{Group: 1, Member: &pb.Member{Id: "other", Addr: in.addr}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := in.pool.Call(ctx, leader.addr, leader.node.method("join"), req, &pb.JoinReply{})
		cancel()
		if err == nil {
			t.Fatal("a join request with the address of a live replica was admitted")
		}
	}
	if after := leader.node.Replicas(); len(after) != len(before) || after[0].Id != before[0].Id || after[2].Id != before[2].Id {
		t.Fatalf("the membership changed from %v to %v", before, after)
	}
}
