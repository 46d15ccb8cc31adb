// Package peerfile keeps the peer addresses of a fleet in a folder, so that an
// instance that starts again finds the others before its seeds answer. The addresses
// are hints: a file that is lost, old or damaged costs time and nothing else.
package peerfile

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

const (
	// name is the file's, with an address as IP:port on each line; tempName is that of
	// one being written.
	name     = "peers"
	tempName = "peers.tmp"
	// maxAddrs bounds the addresses that are kept and read.
	maxAddrs = 4096
)

// Load returns the addresses kept in a folder: none if there is no file. Lines that
// are no addresses are passed over and counted.
func Load(dir string) (addrs []string, damaged int, err error) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("reading the addresses of peers: %w", err)
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() && len(addrs) < maxAddrs {
		if addr, err := netip.ParseAddrPort(lines.Text()); err == nil {
			addrs = append(addrs, addr.String())
		} else {
			damaged++
		}
	}
	if lines.Err() != nil {
		// The rest is one line that is too long to be an address.
		damaged++
	}
	return addrs, damaged, nil
}

// Save replaces the addresses kept in a folder. The old ones stay if it fails.
func Save(folder journal.FS, addrs []string) error {
	text := strings.Join(addrs[:min(maxAddrs, len(addrs))], "\n") + "\n"
	if err := write(folder, text); err != nil {
		return fmt.Errorf("keeping the addresses of peers: %w", err)
	}
	return nil
}

func write(folder journal.FS, text string) error {
	f, err := folder.Create(tempName)
	if err != nil {
		return err
	}
	_, err = f.Write([]byte(text))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := folder.Rename(tempName, name); err != nil {
		return err
	}
	return folder.SyncDir()
}
