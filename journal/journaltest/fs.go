// Package journaltest provides an in-memory directory that simulates crashes, failed
// syncs, full disks and bit flips, for tests of what a journal preserves. It implements
// journal.FS.
package journaltest

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

// Op is a kind of file operation.
type Op string

// The operations that are passed to FS.Hook.
const (
	OpCreate   Op = "create"
	OpWrite    Op = "write"
	OpSync     Op = "sync"
	OpRename   Op = "rename"
	OpRemove   Op = "remove"
	OpTruncate Op = "truncate"
	OpSyncDir  Op = "sync directory"
)

// Crash selects which unsynced operations survive a crash.
type Crash int

const (
	// KeepAll keeps all operations: the process ends, but the operating system keeps
	// running.
	KeepAll Crash = iota
	// LoseUnsynced loses every unsynced byte and directory change.
	LoseUnsynced
	// Reorder keeps a random subset of the unsynced writes and directory changes. A
	// lost write before a kept one leaves zeros.
	Reorder
	// TearTail keeps a random prefix of the unsynced bytes and corrupts its last byte.
	TearTail
)

// ErrSync is an error for a Hook to return from a failed sync.
var ErrSync = errors.New("input/output error")

// FS is an in-memory directory. It is not safe for concurrent use.
type FS struct {
	// Hook is called before each operation. If it returns an error, the operation fails
	// with it and is not performed. Hook may panic to end the process at that point.
	Hook func(op Op, name string) error

	files map[string]*inode
	// durable holds the synced directory entries.
	durable map[string]*inode
	locked  bool
	// FreeBytes is the remaining disk space; a negative value means no limit.
	FreeBytes int
}

type inode struct {
	// data is only appended to or truncated, since synced shares its array.
	data   []byte
	synced []byte
	// writes holds the end offsets of the unsynced writes.
	writes []int
	// syncFailed is set after a failed sync. The bytes stay readable, but the simulated
	// kernel considers them clean, so that no later sync makes them durable.
	syncFailed bool
}

// New returns an empty FS without a space limit.
func New() *FS {
	return &FS{files: make(map[string]*inode), durable: make(map[string]*inode), FreeBytes: -1}
}

func (f *FS) runHook(op Op, name string) error {
	if f.Hook == nil {
		return nil
	}
	return f.Hook(op, name)
}

// Create implements journal.FS.
func (f *FS) Create(name string) (journal.File, error) {
	if err := f.runHook(OpCreate, name); err != nil {
		return nil, err
	}
	node := &inode{}
	f.files[name] = node
	return &file{fs: f, name: name, node: node}, nil
}

// Open implements journal.FS.
func (f *FS) Open(name string) (journal.File, error) {
	node, ok := f.files[name]
	if !ok {
		return nil, syscall.ENOENT
	}
	return &file{fs: f, name: name, node: node}, nil
}

// Rename implements journal.FS.
func (f *FS) Rename(from, to string) error {
	if err := f.runHook(OpRename, to); err != nil {
		return err
	}
	node, ok := f.files[from]
	if !ok {
		return syscall.ENOENT
	}
	f.files[to] = node
	delete(f.files, from)
	return nil
}

// Remove implements journal.FS.
func (f *FS) Remove(name string) error {
	if err := f.runHook(OpRemove, name); err != nil {
		return err
	}
	delete(f.files, name)
	return nil
}

// List implements journal.FS.
func (f *FS) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.files)), nil
}

// SyncDir implements journal.FS.
func (f *FS) SyncDir() error {
	if err := f.runHook(OpSyncDir, ""); err != nil {
		return err
	}
	f.durable = maps.Clone(f.files)
	return nil
}

// Lock implements journal.FS.
func (f *FS) Lock(string) (io.Closer, error) {
	if f.locked {
		return nil, journal.ErrLocked
	}
	f.locked = true
	return closer(func() { f.locked = false }), nil
}

type closer func()

func (c closer) Close() error {
	c()
	return nil
}

// Crash simulates the end of the process that uses the directory, with the loss that
// mode selects. It removes the hook and the lock; files that are open must not be used
// any more.
func (f *FS) Crash(mode Crash, r *rand.Rand) {
	f.Hook = nil
	f.locked = false
	if mode != KeepAll {
		f.files = f.survivingEntries(mode, r)
	}
	seen := make(map[*inode]bool)
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		node := f.files[name]
		if mode == KeepAll || seen[node] {
			continue
		}
		seen[node] = true
		node.crash(mode, r)
	}
	f.durable = maps.Clone(f.files)
}

// survivingEntries returns the directory entries that a crash leaves.
func (f *FS) survivingEntries(mode Crash, r *rand.Rand) map[string]*inode {
	if mode == LoseUnsynced {
		return maps.Clone(f.durable)
	}
	all := maps.Clone(f.durable)
	maps.Copy(all, f.files)
	kept := make(map[string]*inode)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		node, ok := f.durable[name]
		if r.IntN(2) == 0 {
			node, ok = f.files[name]
		}
		if ok {
			kept[name] = node
		}
	}
	return kept
}

func (n *inode) crash(mode Crash, r *rand.Rand) {
	unsynced := n.data[min(len(n.synced), len(n.data)):]
	kept := slices.Clone(n.synced)
	switch {
	case len(n.synced) > len(n.data):
		// A truncation that was not synced may be undone.
	case mode == TearTail && len(unsynced) > 0:
		kept = append(kept, unsynced[:r.IntN(len(unsynced))+1]...)
		kept[len(kept)-1] ^= 0x5a
	case mode == Reorder:
		kept = n.keepRandomWrites(kept, r)
	}
	n.data, n.synced, n.writes, n.syncFailed = kept, kept, nil, false
	n.data = n.data[:len(kept):len(kept)]
}

// keepRandomWrites appends a random subset of the unsynced writes to kept.
func (n *inode) keepRandomWrites(kept []byte, r *rand.Rand) []byte {
	start := len(kept)
	for _, end := range n.writes {
		if end <= start {
			continue
		}
		if r.IntN(2) == 0 {
			kept = append(kept, make([]byte, start-len(kept))...)
			kept = append(kept, n.data[start:end]...)
		}
		start = end
	}
	return kept
}

// FlipBit flips one bit of the byte at offset, like a failing disk.
func (f *FS) FlipBit(name string, offset int) {
	node := f.files[name]
	node.data = slices.Clone(node.data)
	node.data[offset] ^= 1
	node.synced = node.data
}

// Size returns the length of a file.
func (f *FS) Size(name string) int { return len(f.files[name].data) }

type file struct {
	fs   *FS
	name string
	node *inode
}

func (f *file) Write(p []byte) (int, error) {
	if err := f.fs.runHook(OpWrite, f.name); err != nil {
		return 0, err
	}
	var err error
	if free := f.fs.FreeBytes; free >= 0 {
		if len(p) > free {
			p = p[:free]
			err = syscall.ENOSPC
		}
		f.fs.FreeBytes -= len(p)
	}
	f.node.data = append(f.node.data, p...)
	f.node.writes = append(f.node.writes, len(f.node.data))
	return len(p), err
}

func (f *file) ReadAt(p []byte, off int64) (int, error) {
	if off >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Size() (int64, error) { return int64(len(f.node.data)), nil }

func (f *file) Truncate(size int64) error {
	if err := f.fs.runHook(OpTruncate, f.name); err != nil {
		return err
	}
	f.node.data = f.node.data[:size:size]
	return nil
}

// Sync makes the bytes of the file durable, unless an earlier sync of the file failed.
func (f *file) Sync() error {
	if err := f.fs.runHook(OpSync, f.name); err != nil {
		f.node.syncFailed = true
		return err
	}
	if !f.node.syncFailed {
		f.node.synced = f.node.data[:len(f.node.data):len(f.node.data)]
		f.node.writes = nil
	}
	return nil
}

func (f *file) Close() error { return nil }
