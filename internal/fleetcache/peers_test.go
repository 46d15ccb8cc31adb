package fleetcache

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

func newDir(t *testing.T) (string, journal.FS) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "peers")
	folder, err := journal.NewDirFS(dir)
	if err != nil {
		t.Fatal(err)
	}
	return dir, folder
}

func TestSavedAddressesAreLoaded(t *testing.T) {
	dir, fs := newDir(t)
	if addrs, damaged, err := LoadPeers(dir); len(addrs) > 0 || damaged > 0 || err != nil {
		t.Errorf("an empty folder: loaded %v, %d damaged, %v", addrs, damaged, err)
	}
	for _, want := range [][]string{{"10.0.0.1:7000", "10.0.0.2:7000"}, {"10.0.0.3:7000"}} {
		if err := SavePeers(fs, want); err != nil {
			t.Fatal(err)
		}
		if got, damaged, err := LoadPeers(dir); !slices.Equal(got, want) || damaged > 0 || err != nil {
			t.Errorf("loaded %v, %d damaged, %v, want %v", got, damaged, err, want)
		}
	}
}

// TestDamagedFile loads files as a power failure may leave them.
func TestDamagedFile(t *testing.T) {
	for content, want := range map[string]struct {
		addrs   []string
		damaged int
	}{
		"":                              {nil, 0},
		"10.0.0.1:7000\n10.0.0.2:70":    {[]string{"10.0.0.1:7000", "10.0.0.2:70"}, 0},
		"10.0.0.1:7000\n10.0":           {[]string{"10.0.0.1:7000"}, 1},
		"\x00\x00\x00\n10.0.0.1:7000\n": {[]string{"10.0.0.1:7000"}, 1},
		"name:7000\n10.0.0.1:7000\n":    {[]string{"10.0.0.1:7000"}, 1},
		"1.1.1.1:1\n" + strings.Repeat("x", 1<<20): {[]string{"1.1.1.1:1"}, 1},
	} {
		dir, _ := newDir(t)
		if err := os.WriteFile(filepath.Join(dir, peersFile), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, damaged, err := LoadPeers(dir); !slices.Equal(got, want.addrs) || damaged != want.damaged || err != nil {
			t.Errorf("%.40q: loaded %v, %d damaged, %v, want %v, %d", content, got, damaged, err, want.addrs, want.damaged)
		}
	}
}

// fullDisk fails every write.
type fullDisk struct{ journal.FS }

type fullFile struct{ journal.File }

var errFull = errors.New("no space left on device")

func (d fullDisk) Create(name string) (journal.File, error) {
	f, err := d.FS.Create(name)
	return fullFile{f}, err
}

func (fullFile) Write([]byte) (int, error) { return 0, errFull }

func TestFullDiskKeepsTheOldAddresses(t *testing.T) {
	dir, fs := newDir(t)
	old := []string{"10.0.0.1:7000"}
	if err := SavePeers(fs, old); err != nil {
		t.Fatal(err)
	}
	if err := SavePeers(fullDisk{fs}, []string{"10.0.0.2:7000"}); !errors.Is(err, errFull) {
		t.Errorf("error %v, want %v", err, errFull)
	}
	if got, _, err := LoadPeers(dir); !slices.Equal(got, old) || err != nil {
		t.Errorf("loaded %v, %v, want %v", got, err, old)
	}
}

func FuzzLoadPeers(f *testing.F) {
	f.Add([]byte("10.0.0.1:7000\n"))
	f.Add([]byte("\x00\n["))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, peersFile), data, 0o600); err != nil {
			t.Fatal(err)
		}
		if addrs, _, err := LoadPeers(dir); err != nil || len(addrs) > maxAddrs {
			t.Errorf("%d addresses, %v", len(addrs), err)
		}
	})
}
