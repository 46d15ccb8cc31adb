package journal_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// TestMain fixes the seed of the random tests unless the command line sets one.
func TestMain(m *testing.M) {
	testseed.Fix(1, 1000)
	m.Run()
}

func entry(index, term uint64) *pb.LogEntry {
	return &pb.LogEntry{Index: index, Term: term, Kind: pb.EntryKind_ENTRY_KIND_COMMAND, Data: fmt.Appendf(nil, "%d/%d", index, term)}
}

func open(t testing.TB, fs journal.FS) (*journal.Journal, *journal.State) {
	t.Helper()
	j, state, err := journal.Open(fs, nil)
	if err != nil {
		t.Fatal(err)
	}
	return j, state
}

// saveEach saves the entries first to last with the given term, each with its own sync.
func saveEach(t testing.TB, j *journal.Journal, first, last, term uint64) {
	t.Helper()
	for i := first; i <= last; i++ {
		if err := j.Save(&pb.HardState{Term: term, Commit: i}, []*pb.LogEntry{entry(i, term)}, true); err != nil {
			t.Fatal(err)
		}
	}
}

func takeSnapshot(t testing.TB, j *journal.Journal, index, term uint64) {
	t.Helper()
	write := func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "state %d", index)
		return err
	}
	if err := j.WriteSnapshot(&pb.SnapshotMeta{Index: index, Term: term}, write); err != nil {
		t.Fatal(err)
	}
	if err := j.Compact(index); err != nil {
		t.Fatal(err)
	}
}

// TestSyncedStateSurvivesAnyCrash compares the journal with a model through random
// saves, overwrites, snapshots and crashes. It guards against the loss of synced data.
func TestSyncedStateSurvivesAnyCrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		fs := journaltest.New()
		var id string
		var log []*pb.LogEntry
		var hard *pb.HardState
		base, term := uint64(0), uint64(1)
		// Each pass is one run of the process, from Open to a crash.
		for range rapid.IntRange(1, 8).Draw(rt, "lives") {
			j, state, err := journal.Open(fs, nil)
			if err != nil {
				rt.Fatal(err)
			}
			if id != "" && state.ID != id {
				rt.Fatalf("identity changed from %s to %s after a restart", id, state.ID)
			}
			id = state.ID
			j.SegmentBytes = 300
			requireState(rt, state, base, log, hard)
			// Unsynced data may have survived; the model adopts the state that was
			// read.
			log = append(log[:0:0], state.Entries...)
			base = state.Snapshot.GetIndex()
			hard = state.HardState
			for range r.IntN(20) {
				last := base + uint64(len(log))
				switch r.IntN(6) {
				case 0:
					if len(log) > 0 {
						// A new leader replaces part of the log.
						term++
						last -= uint64(r.IntN(min(len(log), 3)) + 1)
					}
					fallthrough
				case 1, 2, 3:
					n := uint64(r.IntN(4) + 1)
					var more []*pb.LogEntry
					for i := range n {
						more = append(more, entry(last+1+i, term))
					}
					hs := &pb.HardState{Term: term, Vote: id, Commit: last}
					if err := j.Save(hs, more, true); err != nil {
						rt.Fatal(err)
					}
					log, hard = append(log[:last-base:last-base], more...), hs
				case 4:
					if len(log) > 0 {
						at := log[r.IntN(len(log))]
						takeSnapshot(t, j, at.Index, at.Term)
						log, base = log[at.Index-base:], at.Index
					}
				case 5:
					// The save is not synced, so the model does not expect it to
					// survive.
					if hard == nil {
						continue
					}
					if err := j.Save(&pb.HardState{Term: term, Vote: id, Commit: last}, nil, false); err != nil {
						rt.Fatal(err)
					}
				}
			}
			if r.IntN(3) == 0 && hard != nil {
				_ = j.Save(nil, []*pb.LogEntry{entry(base+uint64(len(log))+1, term)}, false)
			}
			fs.Crash([]journaltest.Crash{journaltest.KeepAll, journaltest.LoseUnsynced, journaltest.Reorder, journaltest.TearTail}[r.IntN(4)], r)
		}
	})
}

// requireState fails the test unless state contains at least the model.
func requireState(t *rapid.T, state *journal.State, base uint64, log []*pb.LogEntry, hard *pb.HardState) {
	if got := state.Snapshot.GetIndex(); got != base {
		t.Fatalf("snapshot at %d, want %d", got, base)
	}
	if hard.GetTerm() != state.HardState.GetTerm() || hard.GetVote() != state.HardState.GetVote() {
		t.Fatalf("hard state %v, want %v", state.HardState, hard)
	}
	if len(state.Entries) < len(log) {
		t.Fatalf("%d entries after %d, want %d", len(state.Entries), base, len(log))
	}
	for i, e := range log {
		if !proto.Equal(state.Entries[i], e) {
			t.Fatalf("entry %v, want %v", state.Entries[i], e)
		}
	}
}

// TestTornTailIsCutAtEveryByte truncates the last, unsynced write at each of its bytes.
// Open must remove the incomplete records and return all entries before them.
func TestTornTailIsCutAtEveryByte(t *testing.T) {
	for cut := 0; ; cut++ {
		fs := journaltest.New()
		j, _ := open(t, fs)
		saveEach(t, j, 1, 3, 1)
		name := "log-00000000000000000001"
		synced := fs.Size(name)
		if err := j.Save(&pb.HardState{Term: 1, Commit: 3}, []*pb.LogEntry{entry(4, 1)}, false); err != nil {
			t.Fatal(err)
		}
		size := fs.Size(name)
		if synced+cut > size {
			return
		}
		f, _ := fs.Open(name)
		if err := f.Truncate(int64(synced + cut)); err != nil {
			t.Fatal(err)
		}
		fs.Crash(journaltest.KeepAll, nil)
		_, state := open(t, fs)
		if n := len(state.Entries); n != 3 && !(n == 4 && synced+cut >= size-60) {
			t.Fatalf("segment cut at byte %d of %d: read %d entries", synced+cut, size, n)
		}
	}
}

// TestDamageBeforeTheTailIsAnError flips a bit in each byte that a later record proves
// to be synced. Open must report corruption and not cut the log there as a torn tail.
func TestDamageBeforeTheTailIsAnError(t *testing.T) {
	fs := journaltest.New()
	j, _ := open(t, fs)
	saveEach(t, j, 1, 5, 1)
	name := "log-00000000000000000001"
	proven := fs.Size(name)
	saveEach(t, j, 6, 6, 1)
	for offset := range proven {
		fs.FlipBit(name, offset)
		fs.Crash(journaltest.KeepAll, nil)
		_, _, err := journal.Open(fs, nil)
		var damage *journal.DamageError
		if !errors.As(err, &damage) {
			t.Fatalf("bit flipped at offset %d: got error %v", offset, err)
		}
		if damage.File != name || damage.Offset > int64(offset) {
			t.Fatalf("bit flipped at offset %d of %s: reported as %v", offset, name, damage)
		}
		fs.FlipBit(name, offset)
	}
}

// TestFailedSyncIsFinal guards against a second sync that succeeds although the kernel
// dropped the unwritten pages after the first one failed.
func TestFailedSyncIsFinal(t *testing.T) {
	fs := journaltest.New()
	j, _ := open(t, fs)
	saveEach(t, j, 1, 1, 1)
	fs.Hook = func(op journaltest.Op, _ string) error {
		if op == journaltest.OpSync {
			return journaltest.ErrSync
		}
		return nil
	}
	if err := j.Save(nil, []*pb.LogEntry{entry(2, 1)}, true); !errors.Is(err, journaltest.ErrSync) {
		t.Fatalf("Save with a failing sync: got error %v, want ErrSync", err)
	}
	fs.Hook = nil
	if err := j.Save(nil, []*pb.LogEntry{entry(2, 1)}, true); !errors.Is(err, journal.ErrFailed) {
		t.Fatalf("Save after a failed sync: got error %v, want ErrFailed", err)
	}
}

// TestRestartAfterAFailedSync guards against entries that are read after a failed sync
// and lost in a later crash. After the restart the page cache still returns their bytes
// but considers them clean, so the journal must write them again before it relies on
// them.
func TestRestartAfterAFailedSync(t *testing.T) {
	fs := journaltest.New()
	j, _ := open(t, fs)
	saveEach(t, j, 1, 1, 1)
	fs.Hook = func(op journaltest.Op, _ string) error {
		if op == journaltest.OpSync {
			return journaltest.ErrSync
		}
		return nil
	}
	_ = j.Save(nil, []*pb.LogEntry{entry(2, 1)}, true)
	fs.Crash(journaltest.KeepAll, nil)
	_, state := open(t, fs)
	fs.Crash(journaltest.LoseUnsynced, nil)
	_, again := open(t, fs)
	if len(again.Entries) != len(state.Entries) {
		t.Fatalf("%d entries read after the failed sync, %d after a further crash", len(state.Entries), len(again.Entries))
	}
}

// TestFullDiskLosesNothingSynced fills the disk during a Save at each byte of the write.
// No entry that was synced may be lost.
func TestFullDiskLosesNothingSynced(t *testing.T) {
	for free := range 120 {
		fs := journaltest.New()
		j, _ := open(t, fs)
		saveEach(t, j, 1, 3, 1)
		fs.FreeBytes = free
		err := j.Save(&pb.HardState{Term: 1, Commit: 4}, []*pb.LogEntry{entry(4, 1)}, true)
		fs.Crash(journaltest.KeepAll, nil)
		fs.FreeBytes = -1
		_, state := open(t, fs)
		if n := len(state.Entries); n < 3 || err == nil && n < 4 {
			t.Fatalf("%d bytes free, Save returned %v: read %d entries", free, err, n)
		}
	}
}

// TestFolderIsLockedAndKeepsItsIdentity checks on the real file system that the journal
// directory is locked while it is open, and that its identity, snapshot and entries are
// read again after a restart.
func TestFolderIsLockedAndKeepsItsIdentity(t *testing.T) {
	fs, err := journal.NewDirFS(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	j, first := open(t, fs)
	if _, _, err := journal.Open(fs, nil); !errors.Is(err, journal.ErrLocked) {
		t.Fatalf("opening a locked directory: got error %v, want ErrLocked", err)
	}
	saveEach(t, j, 1, 10, 1)
	takeSnapshot(t, j, 5, 1)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, second := open(t, fs)
	defer j.Close()
	if first.ID != second.ID || second.Snapshot.GetIndex() != 5 || len(second.Entries) != 5 {
		t.Fatalf("state at the first open %v, at the second %v", first, second)
	}
}

// TestRemovedFilesAreNoticed guards against a journal that is opened without its
// identity, a log segment or its snapshot.
func TestRemovedFilesAreNoticed(t *testing.T) {
	for _, name := range []string{"identity", "log-00000000000000000002", "snapshot-00000000000000000005"} {
		fs := journaltest.New()
		j, _ := open(t, fs)
		j.SegmentBytes = 200
		saveEach(t, j, 1, 20, 1)
		takeSnapshot(t, j, 5, 1)
		files, _ := fs.List()
		if name == "log-00000000000000000002" {
			for _, f := range files {
				if strings.HasPrefix(f, "log-") {
					name = f
				}
			}
			// The segment before the last one.
			name = fmt.Sprintf("log-%020d", number(t, name)-1)
		}
		if err := fs.Remove(name); err != nil {
			t.Fatal(err)
		}
		fs.Crash(journaltest.KeepAll, nil)
		if _, _, err := journal.Open(fs, nil); err == nil {
			t.Fatalf("opened a journal directory without %s; its files were %v", name, files)
		}
	}
}

func number(t *testing.T, name string) (n uint64) {
	if _, err := fmt.Sscanf(name, "log-%d", &n); err != nil {
		t.Fatal(err)
	}
	return n
}

func TestDamagedSnapshotIsAnError(t *testing.T) {
	fs := journaltest.New()
	j, _ := open(t, fs)
	saveEach(t, j, 1, 5, 1)
	takeSnapshot(t, j, 5, 1)
	name := "snapshot-00000000000000000005"
	for offset := range fs.Size(name) {
		fs.FlipBit(name, offset)
		fs.Crash(journaltest.KeepAll, nil)
		var damage *journal.DamageError
		if _, _, err := journal.Open(fs, nil); !errors.As(err, &damage) || damage.File != name {
			t.Fatalf("bit flipped at offset %d: got error %v", offset, err)
		}
		fs.FlipBit(name, offset)
	}
}

// receiveSnapshot transfers the snapshot at index 9 of another replica to j and returns its
// metadata.
func receiveSnapshot(t *testing.T, j *journal.Journal) *pb.SnapshotMeta {
	t.Helper()
	source, _ := open(t, journaltest.New())
	saveEach(t, source, 1, 9, 2)
	takeSnapshot(t, source, 9, 2)
	s, err := source.OpenSnapshot(9)
	if err != nil {
		t.Fatal(err)
	}
	var meta *pb.SnapshotMeta
	for offset := uint64(0); meta == nil; {
		data, last, err := s.ReadChunk(offset, 7)
		if err != nil {
			t.Fatal(err)
		}
		if offset, meta, err = j.StoreChunk(journal.Chunk{From: "a", Index: 9, Offset: offset, Data: data, Last: last}); err != nil {
			t.Fatal(err)
		}
	}
	return meta
}

// TestCrashWhileASnapshotIsInstalled guards against a replica that can't be started again, or
// loses synced entries, after a crash between the rename of a received snapshot and the reset
// of the log: further entries must not be appended to those that the snapshot replaces.
func TestCrashWhileASnapshotIsInstalled(t *testing.T) {
	for name, last := range map[string]uint64{"the log ends before the snapshot": 4, "the log conflicts with the snapshot": 12} {
		t.Run(name, func(t *testing.T) {
			fs := journaltest.New()
			j, _ := open(t, fs)
			saveEach(t, j, 1, last, 1)
			meta := receiveSnapshot(t, j)
			errKilled := errors.New("killed")
			renamed := false
			fs.Hook = func(op journaltest.Op, _ string) error {
				if renamed && op == journaltest.OpWrite {
					return errKilled
				}
				renamed = renamed || op == journaltest.OpSyncDir
				return nil
			}
			if err := j.InstallSnapshot(meta, &pb.HardState{Term: 2, Commit: 9}); !errors.Is(err, errKilled) {
				t.Fatal(err)
			}
			fs.Hook = nil
			fs.Crash(journaltest.LoseUnsynced, nil)
			j, state := open(t, fs)
			if state.Snapshot.GetIndex() != 9 || len(state.Entries) != 0 {
				t.Fatalf("state after the crash: %v", state)
			}
			saveEach(t, j, 10, 12, 2)
			for range 2 {
				fs.Crash(journaltest.LoseUnsynced, nil)
				if _, state = open(t, fs); state.Snapshot.GetIndex() != 9 || len(state.Entries) != 3 || state.Entries[0].Index != 10 {
					t.Fatalf("state after further entries: %v", state)
				}
			}
		})
	}
}

func TestReceivedSnapshotReplacesTheLog(t *testing.T) {
	fs := journaltest.New()
	j, _ := open(t, fs)
	saveEach(t, j, 1, 4, 1)
	meta := receiveSnapshot(t, j)
	if err := j.InstallSnapshot(meta, &pb.HardState{Term: 2, Commit: 9}); err != nil {
		t.Fatal(err)
	}
	saveEach(t, j, 10, 12, 2)
	fs.Crash(journaltest.LoseUnsynced, nil)
	j, state := open(t, fs)
	if state.Snapshot.GetIndex() != 9 || len(state.Entries) != 3 {
		t.Fatalf("state after the crash: %v", state)
	}
	installed, err := j.OpenSnapshot(9)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(installed.State()); err != nil || string(data) != "state 9" {
		t.Fatalf("state %q, %v", data, err)
	}
}
