package replica

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestReplayIsShownAtItsEnd restarts a replica without peers and without ticks: it
// applies at once all that it knows to be committed, and shows no state before that, not
// that of its snapshot either.
func TestReplayIsShownAtItsEnd(t *testing.T) {
	const commands = 21
	f := newCluster(t, 1, func(c *Config) { c.SnapshotEntries = 8 })
	in := f[0]
	for i := range commands {
		f.propose(fmt.Sprint(i))
	}
	in.stop()
	known := commands - commandsAfterCommit(t, in.dir)

	var mu sync.Mutex
	var shown []int
	in.edit = func(c *Config) {
		c.TickInterval = time.Hour
		machine := c.Machine.(*listMachine)
		c.OnApplied = func() {
			mu.Lock()
			defer mu.Unlock()
			shown = append(shown, len(machine.items()))
		}
	}
	in.start()
	eventually(t, "the state is shown", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(shown) > 0
	})
	mu.Lock()
	defer mu.Unlock()
	if shown[0] < known {
		t.Errorf("a state of %d commands was shown first, %d were known to be committed", shown[0], known)
	}
}

// commandsAfterCommit counts the commands in a folder that its journal doesn't tell to be
// committed.
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
		t.Fatalf("nothing is to be replayed: snapshot %v, commit %d", state.Snapshot, state.HardState.Commit)
	}
	n := 0
	for _, e := range state.Entries {
		if e.Index > state.HardState.Commit && e.Kind == pb.EntryKind_ENTRY_KIND_COMMAND {
			n++
		}
	}
	return n
}
