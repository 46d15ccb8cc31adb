package fleetcache

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"strings"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

const (
	// peersFile is the name of the file, which has one address as IP:port on each line.
	peersFile = "peers"
	// maxAddrs limits the addresses that are saved and loaded.
	maxAddrs = 4096
)

// LoadPeers returns the addresses saved in a folder, none if there is no file. It skips
// and counts lines that are not addresses.
func LoadPeers(dir string) (addrs []string, damaged int, err error) {
	data, err := readFile(dir, peersFile)
	if err != nil {
		return nil, 0, fmt.Errorf("load peer addresses: %w", err)
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
		// The scanner stopped at a line that is too long to be an address.
		damaged++
	}
	return addrs, damaged, nil
}

// SavePeers replaces the addresses saved in a folder. If it fails, the old addresses
// stay.
func SavePeers(folder journal.FS, addrs []string) error {
	text := strings.Join(addrs[:min(maxAddrs, len(addrs))], "\n") + "\n"
	if err := replaceFile(folder, peersFile, []byte(text)); err != nil {
		return fmt.Errorf("save peer addresses: %w", err)
	}
	return nil
}
