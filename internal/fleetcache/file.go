// Package fleetcache persists a replica's knowledge of the fleet in a folder: the
// addresses of its peers and its targets. When the whole fleet restarts, a replica thus
// knows both before any router or target has announced itself. The files are a cache
// and not authoritative: a lost, stale or damaged file only delays the start. The
// package does not decide how long the loaded entries are trusted.
package fleetcache

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

// tempSuffix marks a temporary file that is not fully written yet.
const tempSuffix = ".tmp"

// readFile returns a file's content, nil if the file does not exist.
func readFile(dir, name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return data, err
}

// replaceFile replaces a file atomically: it writes a temporary file, syncs it to disk
// and renames it. If it fails before the rename, the old file stays.
func replaceFile(folder journal.FS, name string, data []byte) error {
	f, err := folder.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := folder.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return folder.SyncDir()
}
