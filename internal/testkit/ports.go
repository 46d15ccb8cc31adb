package testkit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
)

// The ports for tests lie below the range from which the system assigns ports to
// outgoing connections, so that no connection can take one. A test process reserves
// them in blocks: it keeps a listener on the first port of each block until it ends.
// Other test processes therefore skip the block, even while the instances that use it
// are down.
const (
	firstPort  = 12000
	lastPort   = 32000
	blockPorts = 100
	portBlocks = (lastPort - firstPort) / blockPorts
)

var testPorts = &portAllocator{nextBlock: rand.IntN(portBlocks)}

// FreeAddr returns a loopback address whose port is free for TCP and UDP. No other test
// gets the port before this one has ended, not even while nothing listens on it.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := testPorts.assign()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { testPorts.release(addr) })
	return addr
}

// FreeAddrOfProcess is FreeAddr for callers without a testing.TB. The port stays assigned
// until the test process ends.
func FreeAddrOfProcess() (string, error) { return testPorts.assign() }

// portAllocator assigns the ports that one test process uses.
type portAllocator struct {
	mu sync.Mutex
	// nextBlock is the number of the next block to try.
	nextBlock int
	// reserved holds a listener on the first port of each reserved block.
	reserved []net.Listener
	// unassigned holds the addresses in the reserved blocks that no test uses.
	unassigned []string
}

// assign returns a loopback address whose port is free for TCP and UDP.
func (p *portAllocator) assign() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for len(p.unassigned) > 0 {
			addr := p.unassigned[0]
			p.unassigned = p.unassigned[1:]
			if checkPortFree(addr) == nil {
				return addr, nil
			}
		}
		if err := p.reserveBlock(); err != nil {
			return "", err
		}
	}
}

// release makes the port of addr available to other tests of this process.
func (p *portAllocator) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unassigned = append(p.unassigned, addr)
}

// reserveBlock reserves a block that no other process has reserved.
func (p *portAllocator) reserveBlock() error {
	for range portBlocks {
		first := firstPort + p.nextBlock*blockPorts
		p.nextBlock = (p.nextBlock + 1) % portBlocks
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		p.reserved = append(p.reserved, l)
		for port := first + 1; port < first+blockPorts; port++ {
			p.unassigned = append(p.unassigned, fmt.Sprintf("127.0.0.1:%d", port))
		}
		return nil
	}
	return errors.New("all blocks of ports are reserved")
}

// close releases the reserved blocks.
func (p *portAllocator) close() {
	for _, l := range p.reserved {
		l.Close()
	}
}

// checkPortFree returns an error if addr is in use for TCP or UDP. It holds ForkLock so
// that this process starts no other meanwhile: between fork and exec the child would
// have copies of the sockets and would keep the port in use.
func checkPortFree(addr string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	return u.Close()
}
