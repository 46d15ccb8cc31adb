// Package remembered keeps in a folder what a replica knew of the fleet: the addresses
// of its peers and its targets. After a start of the whole fleet it has both before
// anybody has announced itself. All of it is a hint: a file that is lost, old or damaged
// costs time and nothing else.
package remembered

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

// tempSuffix marks a file that is being written.
const tempSuffix = ".tmp"

// read returns a file's content, nil if there is no such file.
func read(dir, name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return data, err
}

// write replaces a file. The old one stays if it fails.
func write(folder journal.FS, name string, data []byte) error {
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
