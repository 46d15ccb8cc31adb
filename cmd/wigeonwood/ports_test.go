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

// Ports for tests lie below the range from which the system takes the ports of
// outgoing connections, so that none of those can take one meanwhile. A test
// process claims them by blocks and holds the first port of each open until it
// ends: another process that looks for free ports leaves the block alone, also
// while an instance is down.
const (
	firstPort  = 12000
	lastPort   = 32000
	blockPorts = 100
	portBlocks = (lastPort - firstPort) / blockPorts
)

// portAllocator gives out the ports of one process.
type portAllocator struct {
	mu sync.Mutex
	// nextBlock is the next one to try.
	nextBlock int
	// reserved are the first ports of the claimed blocks.
	reserved []net.Listener
	// nextPort and end bound what is left of the last claimed block.
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

// reserveBlock takes a block that no other process holds.
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
	return errors.New("no block of ports is free")
}

// close gives the claimed blocks back.
func (p *portAllocator) close() {
	for _, l := range p.reserved {
		l.Close()
	}
}

// checkPortFree tells whether a port is free. No process is started meanwhile: between its
// fork and its exec it would hold a copy of the socket, and with it the port.
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

// TestPortsOfTwoProcesses has two processes look for ports from the same place
// while neither has opened its own yet.
func TestPortsOfTwoProcesses(t *testing.T) {
	start := rand.IntN(portBlocks)
	one, other := &portAllocator{nextBlock: start}, &portAllocator{nextBlock: start}
	defer one.close()
	defer other.close()
	given := make(map[string]bool)
	for range 2 * blockPorts {
		for _, p := range []*portAllocator{one, other} {
			addr, err := p.freeLoopback()
			if err != nil {
				t.Fatal(err)
			}
			if given[addr] {
				t.Fatalf("%s was given out twice", addr)
			}
			given[addr] = true
		}
	}
}

// TestPortsBesideStartingProcesses looks for ports while other processes are started: a
// process that is about to start holds copies of all open sockets for a moment, so that
// a port that was only tried could still be taken.
func TestPortsBesideStartingProcesses(t *testing.T) {
	const starters, tries = 4, 1500
	// At the first start of a process the standard library tries a clone that
	// ForkLock doesn't cover.
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
			t.Errorf("a port that was free: %v", err)
			break
		}
	}
	close(stop)
	starting.Wait()
}
