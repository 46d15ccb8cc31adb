package journal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS provides the file operations of one directory. Names are plain file names without
// a path.
type FS interface {
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// Open opens a file for reading and appending.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir makes earlier creations, renames and removals durable.
	SyncDir() error
	// Lock takes an exclusive lock on the directory, represented by the file name. The
	// lock is held until it is closed.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Writes append to its end.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// ErrLocked is returned if another process holds the lock of the directory.
var ErrLocked = errors.New("the journal directory is locked by another process")

const (
	dirMode  = 0o750
	fileMode = 0o640
)

type dirFS struct{ dir string }

// NewDirFS returns an FS for the directory dir and creates the directory if it does not
// exist.
func NewDirFS(dir string) (FS, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	// The entry of dir in its parent directory must be durable too.
	if err := syncDir(filepath.Dir(filepath.Clean(dir))); err != nil {
		return nil, err
	}
	return &dirFS{dir: dir}, nil
}

func (d *dirFS) path(name string) string { return filepath.Join(d.dir, name) }

func (d *dirFS) open(name string, flag int) (File, error) {
	f, err := os.OpenFile(d.path(name), flag|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return &osFile{f}, nil
}

func (d *dirFS) Create(name string) (File, error) { return d.open(name, os.O_CREATE|os.O_TRUNC) }

func (d *dirFS) Open(name string) (File, error) { return d.open(name, 0) }

func (d *dirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d *dirFS) Remove(name string) error { return os.Remove(d.path(name)) }

func (d *dirFS) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (d *dirFS) SyncDir() error { return syncDir(d.dir) }

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes an advisory lock, which the system releases when the process ends.
func (d *dirFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}

type osFile struct{ *os.File }

func (f *osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
