package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
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

// portAllocator assigns the ports that one test process uses.
type portAllocator struct {
	mu sync.Mutex
	// nextBlock is the number of the next block to try.
	nextBlock int
	// reserved holds a listener on the first port of each reserved block.
	reserved []net.Listener
	// nextPort and endPort bound the unused rest of the last reserved block.
	nextPort, endPort int
}

var testPorts = &portAllocator{nextBlock: rand.IntN(portBlocks)}

// freeLoopback returns a loopback address whose port is free for TCP and UDP.
func (p *portAllocator) freeLoopback() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for p.nextPort < p.endPort {
			addr := fmt.Sprintf("127.0.0.1:%d", p.nextPort)
			p.nextPort++
			if checkPortFree(addr) == nil {
				return addr, nil
			}
		}
		if err := p.reserveBlock(); err != nil {
			return "", err
		}
	}
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
		p.nextPort, p.endPort = first+1, first+blockPorts
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

// TestPortsOfTwoProcesses guards against two test processes that get the same port. Two
// allocators start at the same block and assign ports in turn, while no assigned port is
// open yet.
func TestPortsOfTwoProcesses(t *testing.T) {
	start := rand.IntN(portBlocks)
	one, other := &portAllocator{nextBlock: start}, &portAllocator{nextBlock: start}
	defer one.close()
	defer other.close()
	assigned := make(map[string]bool)
	for range 2 * blockPorts {
		for _, p := range []*portAllocator{one, other} {
			addr, err := p.freeLoopback()
			if err != nil {
				t.Fatal(err)
			}
			if assigned[addr] {
				t.Fatalf("%s was assigned twice", addr)
			}
			assigned[addr] = true
		}
	}
}

// TestPortsBesideStartingProcesses allocates ports while other goroutines start
// processes. It guards against ports that are still in use right after they were
// checked: between fork and exec a child has copies of all open sockets, including
// those of the check.
func TestPortsBesideStartingProcesses(t *testing.T) {
	const starters, tries = 4, 1500
	// When it starts its first process, the standard library probes a clone call that
	// ForkLock does not cover.
	if err := exec.Command(os.Args[0], "-test.list=^$").Run(); err != nil {
		t.Fatal(err)
	}
	p := &portAllocator{nextBlock: rand.IntN(portBlocks)}
	defer p.close()
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if err := exec.Command(os.Args[0], "-test.list=^$").Run(); err != nil {
						t.Error(err)
						return
					}
				}
			}
		})
	}
	for range tries {
		addr, err := p.freeLoopback()
		if err != nil {
			t.Error(err)
			break
		}
		if err := checkPortFree(addr); err != nil {
			t.Errorf("a port that was assigned as free is in use: %v", err)
			break
		}
	}
	close(stop)
	starting.Wait()
}
