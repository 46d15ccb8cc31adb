package remembered

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"strings"

	"github.com/wigeonwood/wigeonwood/internal/journal"
)

const (
	// peersName is the file with an address as IP:port on each line.
	peersName = "peers"
	// maxAddrs bounds the addresses that are kept and read.
	maxAddrs = 4096
)

// LoadPeers returns the addresses kept in a folder: none if there is no file. Lines
// that are no addresses are passed over and counted.
func LoadPeers(dir string) (addrs []string, damaged int, err error) {
	data, err := read(dir, peersName)
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

// SavePeers replaces the addresses kept in a folder. The old ones stay if it fails.
func SavePeers(folder journal.FS, addrs []string) error {
	text := strings.Join(addrs[:min(maxAddrs, len(addrs))], "\n") + "\n"
	if err := write(folder, peersName, []byte(text)); err != nil {
		return fmt.Errorf("keeping the addresses of peers: %w", err)
	}
	return nil
}
