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
	// peersFile is the name of the file of peer addresses, which has one address as
	// IP:port on each line.
	peersFile = "peers"
	// maxAddrs limits the number of addresses that are saved and loaded.
	maxAddrs = 4096
)

// LoadPeers returns the peer addresses saved in a directory, none if there is no file.
// Lines that are not addresses are skipped; damaged is their number.
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

// SavePeers replaces the peer addresses saved in a directory. If writing fails, the old
// addresses stay.
func SavePeers(fsys journal.FS, addrs []string) error {
	text := strings.Join(addrs[:min(maxAddrs, len(addrs))], "\n") + "\n"
	if err := replaceFile(fsys, peersFile, []byte(text)); err != nil {
		return fmt.Errorf("save peer addresses: %w", err)
	}
	return nil
}
