package replica

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// fault is a fault of one host that lasts for a while. inject may be called from
// within a file operation, which then fails with the returned error.
type fault struct {
	name string
	// logOp is the file operation on the log during which the fault is injected
	// when the matrix tests an append.
	logOp  journaltest.Op
	inject func(sim *simulation, h *simHost) error
}

// temporary returns the inject function of a fault that changes only the
// environment of the host, such as the network, for a random time.
func temporary(start func(sim *simulation, h *simHost, d time.Duration)) func(*simulation, *simHost) error {
	return func(sim *simulation, h *simHost) error {
		start(sim, h, sim.faultTime())
		return nil
	}
}

// faultTime returns a random duration of a fault.
func (sim *simulation) faultTime() time.Duration {
	return 50*time.Millisecond + time.Duration(sim.r.Int64N(int64(3*time.Second)))
}

// stopAndRestart returns the inject function of a fault that stops the node at once
// and restarts it later.
func stopAndRestart(stop func(*simHost)) func(*simulation, *simHost) error {
	return func(sim *simulation, h *simHost) error {
		sim.after(sim.faultTime(), h.start)
		h.kill(func() { stop(h) })
		return nil
	}
}

func crashAndRestart(mode journaltest.Crash) func(*simulation, *simHost) error {
	return stopAndRestart(func(h *simHost) { h.crash(mode) })
}

// kill calls stop to stop the node. Within a pass it panics with errKilled, which
// aborts the pass before stop is called.
func (h *simHost) kill(stop func()) {
	if !h.inPass {
		stop()
		return
	}
	h.onKill = stop
	panic(errKilled)
}

// restartAfterExit restarts the host some time after its node has stopped by
// itself.
func restartAfterExit(sim *simulation, h *simHost) {
	incarnation := h.incarnation
	var check func()
	check = func() {
		if h.incarnation == incarnation && h.node != nil {
			sim.after(100*time.Millisecond, check)
			return
		}
		sim.after(sim.faultTime(), h.start)
	}
	check()
}

// cutFor drops the host's incoming or outgoing messages, or both, for d.
func cutFor(sim *simulation, h *simHost, in, out bool, d time.Duration) {
	for _, other := range sim.hosts {
		if in {
			sim.cut[[2]string{other.addr, h.addr}] = true
		}
		if out {
			sim.cut[[2]string{h.addr, other.addr}] = true
		}
	}
	sim.after(d, func() { clear(sim.cut) })
}

// cutLink drops the messages between two hosts in both directions.
func cutLink(sim *simulation, a, b *simHost) {
	sim.cut[[2]string{a.addr, b.addr}] = true
	sim.cut[[2]string{b.addr, a.addr}] = true
}

var faults = []fault{
	{"kill", journaltest.OpSync, crashAndRestart(journaltest.KeepAll)},
	{"kill with lost unsynced writes", journaltest.OpSync, crashAndRestart(journaltest.LoseUnsynced)},
	{"kill with reordered unsynced writes", journaltest.OpSync, crashAndRestart(journaltest.Reorder)},
	{"torn tail", journaltest.OpSync, crashAndRestart(journaltest.TearTail)},
	{"lost disk", journaltest.OpSync, stopAndRestart((*simHost).loseDisk)},
	{"failed sync", journaltest.OpSync, func(sim *simulation, h *simHost) error {
		h.fs.Hook = func(op journaltest.Op, _ string) error {
			if op == journaltest.OpSync {
				return journaltest.ErrSync
			}
			return nil
		}
		restartAfterExit(sim, h)
		return journaltest.ErrSync
	}},
	{"full disk", journaltest.OpWrite, func(sim *simulation, h *simHost) error {
		h.fs.FreeBytes = sim.r.IntN(300)
		restartAfterExit(sim, h)
		return nil
	}},
	{"freeze and thaw", journaltest.OpSync, temporary(func(sim *simulation, h *simHost, d time.Duration) { h.frozenUntil = sim.now + d })},
	{"two-way cut", journaltest.OpSync, temporary(func(sim *simulation, h *simHost, d time.Duration) { cutFor(sim, h, true, true, d) })},
	{"one-way cut, incoming", journaltest.OpSync, temporary(func(sim *simulation, h *simHost, d time.Duration) {
		cutFor(sim, h, true, false, d)
	})},
	{"one-way cut, outgoing", journaltest.OpSync, temporary(func(sim *simulation, h *simHost, d time.Duration) {
		cutFor(sim, h, false, true, d)
	})},
	{"cut of one link", journaltest.OpSync, temporary(func(sim *simulation, h *simHost, d time.Duration) {
		cutLink(sim, h, sim.hosts[sim.r.IntN(len(sim.hosts))])
		sim.after(d, func() { clear(sim.cut) })
	})},
	{"one slow link", journaltest.OpSync, temporary(func(sim *simulation, h *simHost, d time.Duration) {
		link := [2]string{h.addr, sim.hosts[sim.r.IntN(len(sim.hosts))].addr}
		sim.slow[link] = sim.faultTime()
		sim.after(d, func() { delete(sim.slow, link) })
	})},
	{"messages lost", journaltest.OpSync, temporary(func(sim *simulation, _ *simHost, d time.Duration) {
		sim.dropPct = 30
		sim.after(d, func() { sim.dropPct = 0 })
	})},
	{"messages late", journaltest.OpSync, temporary(func(sim *simulation, _ *simHost, d time.Duration) {
		sim.delayPct = 50
		sim.after(d, func() { sim.delayPct = 0 })
	})},
	{"messages doubled", journaltest.OpSync, temporary(func(sim *simulation, _ *simHost, d time.Duration) {
		sim.duplicatePct = 100
		sim.after(d, func() { sim.duplicatePct = 0 })
	})},
	{"messages reordered", journaltest.OpSync, temporary(func(sim *simulation, _ *simHost, d time.Duration) {
		sim.delayPct, sim.maxDelay = 100, 40*time.Millisecond
		sim.after(d, func() { sim.delayPct, sim.maxDelay = 0, defaultMaxDelay })
	})},
}
