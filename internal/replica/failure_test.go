package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// TestFailedSyncEndsTheNode guards against a leader that continues after a failed
// sync. The outcome of its proposal is unknown, and the other replicas take over.
func TestFailedSyncEndsTheNode(t *testing.T) {
	var failing sync.Map
	c := newCluster(t, simFounders, func(cfg *Config) {
		fs := journaltest.New()
		fs.Hook = func(op journaltest.Op, _ string) error {
			if _, fails := failing.Load(cfg.Addr); fails && op == journaltest.OpSync {
				return journaltest.ErrSync
			}
			return nil
		}
		cfg.FS = fs
	})
	want := commitMany(c, nil, 5)
	leader := c.leader()
	failing.Store(leader.addr, true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, _, err := leader.node.Propose(ctx, []byte("unsynced")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("proposal during a failed sync: %v", err)
	}
	<-leader.node.Done()
	if err := leader.node.Err(); !errors.Is(err, journaltest.ErrSync) {
		t.Fatalf("node stopped with %v", err)
	}
	leader.stop()
	commitMany(c, want, 5)
}

func TestRestartFromSnapshotAndJournalAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, simFounders, func(cfg *Config) { cfg.SnapshotEntries = 100 })
	const proposers, each = 20, 30
	node := c.leader().node
	var all sync.WaitGroup
	for p := range proposers {
		all.Go(func() {
			for i := range each {
				if _, _, err := node.Propose(context.Background(), fmt.Appendf(nil, "%d/%d", p, i)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	before := c[0].machine
	eventually(t, "all commands applied", func() bool { return len(before.items()) == proposers*each })
	for _, in := range c {
		in.stop()
	}
	for _, in := range c {
		in.start()
	}
	c.leader()
	for _, in := range c {
		eventually(t, "all commands applied after the restart at "+in.addr, func() bool { return len(in.machine.items()) == proposers*each })
		for i, item := range in.machine.items() {
			if item != before.items()[i] {
				t.Fatalf("item %d at %s is %q after the restart, was %q", i, in.addr, item, before.items()[i])
			}
		}
	}
}

// TestRefusalsAppendNothing checks that a proposal that is too large and proposals
// at followers fail and do not reach the log.
func TestRefusalsAppendNothing(t *testing.T) {
	c := newCluster(t, simFounders, nil)
	want := commitMany(c, nil, 1)
	leader := c.leader()
	if _, _, err := leader.node.Propose(context.Background(), make([]byte, maxProposalBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("proposal above the size limit: %v", err)
	}
	for _, in := range c {
		if in == leader {
			continue
		}
		if _, _, err := in.node.Propose(context.Background(), []byte("follower")); !errors.Is(err, ErrNotLeader) {
			t.Fatalf("proposal at a follower: %v", err)
		}
		if _, err := in.node.ReadIndex(context.Background()); !errors.Is(err, ErrNotLeader) {
			t.Fatalf("read at a follower: %v", err)
		}
	}
	at, err := leader.node.ReadIndex(context.Background())
	if err != nil || at.Index == 0 || !containsInOrder(leader.machine.items(), want) {
		t.Fatalf("read %v, %v; items %v", at, err, leader.machine.items())
	}
	for _, item := range leader.machine.items() {
		if item != want[0] {
			t.Errorf("%q was refused but is in the log", item)
		}
	}
}
