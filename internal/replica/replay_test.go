package replica

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestReplayIsShownAtItsEnd restarts a replica without peers and without ticks. The
// replica must apply all entries that it knows to be committed without waiting for an
// input. It must not call OnApplied before that, for example after it has loaded its
// snapshot.
func TestReplayIsShownAtItsEnd(t *testing.T) {
	const commands = 21
	c := newCluster(t, 1, func(c *Config) { c.SnapshotEntries = 8 })
	in := c[0]
	for i := range commands {
		c.propose(fmt.Sprint(i))
	}
	in.stop()
	known := commands - commandsAfterCommit(t, in.dir)

	var mu sync.Mutex
	var counts []int
	in.edit = func(c *Config) {
		c.TickInterval = time.Hour
		machine := c.Machine.(*listMachine)
		c.OnApplied = func() {
			mu.Lock()
			defer mu.Unlock()
			counts = append(counts, len(machine.items()))
		}
	}
	in.start()
	eventually(t, "the first call of OnApplied", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(counts) > 0
	})
	mu.Lock()
	defer mu.Unlock()
	if counts[0] < known {
		t.Errorf("OnApplied was first called with %d commands, but %d were known to be committed", counts[0], known)
	}
}

// commandsAfterCommit returns the number of commands in the journal at dir that lie
// after its commit index.
func commandsAfterCommit(t *testing.T, dir string) int {
	t.Helper()
	fs, err := journal.NewDirFS(dir)
	if err != nil {
		t.Fatal(err)
	}
	j, state, err := journal.Open(fs, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if state.Snapshot == nil || state.HardState.Commit <= state.Snapshot.Index {
		t.Fatalf("no committed entries after the snapshot: snapshot %v, commit %d", state.Snapshot, state.HardState.Commit)
	}
	n := 0
	for _, e := range state.Entries {
		if e.Index > state.HardState.Commit && e.Kind == pb.EntryKind_ENTRY_KIND_COMMAND {
			n++
		}
	}
	return n
}
