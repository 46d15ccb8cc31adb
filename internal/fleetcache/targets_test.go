package fleetcache

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func someTargets(n int) []*pb.TargetStatus {
	var targets []*pb.TargetStatus
	for i := range n {
		targets = append(targets, &pb.TargetStatus{
			Id: fmt.Sprintf("t%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Service: "s", Incarnation: 7, Sequence: uint64(i), Capacity: 64,
		})
	}
	return targets
}

func TestSavedTargetsAreLoaded(t *testing.T) {
	dir, fsys := newDir(t)
	if got, err := LoadTargets(dir); len(got) > 0 || err != nil {
		t.Errorf("an empty folder: loaded %v, %v", got, err)
	}
	for _, n := range []int{3, 1, 0} {
		want := someTargets(n)
		if err := SaveTargets(fsys, want); err != nil {
			t.Fatal(err)
		}
		got, err := LoadTargets(dir)
		if err != nil || len(got) != n {
			t.Fatalf("loaded %v, %v, want %d targets", got, err, n)
		}
		for i := range want {
			if !proto.Equal(got[i], want[i]) {
				t.Errorf("loaded %v, want %v", got[i], want[i])
			}
		}
	}
}

// TestDamagedTargets loads files as a power failure may leave them: truncated at each
// length and with a flipped bit in each byte. Each load must fail with ErrDamaged and
// return no targets.
func TestDamagedTargets(t *testing.T) {
	dir, fsys := newDir(t)
	if err := SaveTargets(fsys, someTargets(3)); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, targetsFile)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range intact {
		corrupted := append([]byte(nil), intact...)
		corrupted[at] ^= 1
		for _, data := range [][]byte{intact[:at], corrupted} {
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
			if got, err := LoadTargets(dir); !errors.Is(err, ErrDamaged) || got != nil {
				t.Fatalf("damaged at byte %d: loaded %v, %v", at, got, err)
			}
		}
	}
}

func TestFullDiskKeepsTheOldTargets(t *testing.T) {
	dir, fsys := newDir(t)
	if err := SaveTargets(fsys, someTargets(2)); err != nil {
		t.Fatal(err)
	}
	if err := SaveTargets(fullDisk{fsys}, someTargets(3)); !errors.Is(err, errFull) {
		t.Errorf("error %v, want %v", err, errFull)
	}
	if got, err := LoadTargets(dir); len(got) != 2 || err != nil {
		t.Errorf("loaded %v, %v, want two targets", got, err)
	}
}

func FuzzLoadTargets(f *testing.F) {
	f.Add([]byte("0123456789"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if targets, err := decodeTargets(data); err == nil && len(targets) > maxTargets {
			t.Errorf("%d targets", len(targets))
		}
	})
}

// TestSavedNoticesSurviveLossOfPower guards against a notice that is acknowledged, since its write
// has returned, and that a loss of power takes along; and against older ones that a failed or
// unfinished write takes along.
func TestSavedNoticesSurviveLossOfPower(t *testing.T) {
	modes := []journaltest.Crash{journaltest.KeepAll, journaltest.LoseUnsynced, journaltest.Reorder, journaltest.TearTail}
	for _, mode := range modes {
		for seed := range uint64(50) {
			fsys := journaltest.New()
			if err := SaveNotices(fsys, someTargets(3)); err != nil {
				t.Fatal(err)
			}
			step := int(seed % 6)
			fsys.Hook = func(journaltest.Op, string) error {
				if step--; step < 0 {
					return errFull
				}
				return nil
			}
			written := SaveNotices(fsys, someTargets(4)) == nil
			fsys.Crash(mode, rand.New(rand.NewPCG(seed, 0)))
			got, err := decodeTargets(readAll(t, fsys, noticesFile))
			if err != nil || len(got) < 3 || written && len(got) != 4 {
				t.Errorf("%v, seed %d: %d notices, error %v; written: %t", mode, seed, len(got), err, written)
			}
		}
	}
}

func readAll(t *testing.T, fsys *journaltest.FS, name string) []byte {
	t.Helper()
	f, err := fsys.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	data := make([]byte, fsys.Size(name))
	if _, err := f.ReadAt(data, 0); err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return data
}
