// Package fleetcache persists a replica's last view of the fleet in files of a
// directory: the peer addresses of the routers and the targets. When the whole fleet
// restarts, a replica thus knows both before any router or target has announced
// itself. The files are only a cache: a lost, stale or damaged file delays the start
// and does no other harm. The package does not decide how long the loaded entries are
// trusted.
package fleetcache

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

// tempSuffix is the suffix of a file that is still being written.
const tempSuffix = ".tmp"

// readFile returns a file's content, or nil without an error if the file does not
// exist.
func readFile(dir, name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return data, err
}

// replaceFile replaces a file atomically: it writes a temporary file, syncs it to disk
// and renames it. If an error occurs before the rename, the old file stays.
func replaceFile(fsys journal.FS, name string, data []byte) error {
	f, err := fsys.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := fsys.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fsys.SyncDir()
}
