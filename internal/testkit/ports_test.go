package testkit

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"testing"
)

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
			addr, err := p.assign()
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
		addr, err := p.assign()
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

// TestReleasedPorts guards against a long series of tests that reserves one block of ports
// after the other although each test releases its ports.
func TestReleasedPorts(t *testing.T) {
	p := &portAllocator{nextBlock: rand.IntN(portBlocks)}
	defer p.close()
	for range 4 * blockPorts {
		addr, err := p.assign()
		if err != nil {
			t.Fatal(err)
		}
		p.release(addr)
	}
	if n := len(p.reserved); n != 1 {
		t.Fatalf("%d blocks are reserved for one port at a time", n)
	}
}
