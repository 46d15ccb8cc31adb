package replica

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// fault is one thing that goes wrong at a site for a while. It may strike in
// the midst of a step; the error is then that of the file operation under way.
type fault struct {
	name string
	// logOp is the operation on the log at which it strikes in an append.
	logOp  journaltest.Op
	inject func(w *simulation, s *simHost) error
}

// temporary is a fault that only changes the world around the site.
func temporary(start func(w *simulation, s *simHost, d time.Duration)) func(*simulation, *simHost) error {
	return func(w *simulation, s *simHost) error {
		start(w, s, w.faultTime())
		return nil
	}
}

// faultTime draws how long a fault lasts.
func (w *simulation) faultTime() time.Duration {
	return 50*time.Millisecond + time.Duration(w.r.Int64N(int64(3*time.Second)))
}

// stopAndRestart ends the node where it is and starts it again later.
func stopAndRestart(end func(*simHost)) func(*simulation, *simHost) error {
	return func(w *simulation, s *simHost) error {
		w.after(w.faultTime(), s.start)
		s.kill(func() { end(s) })
		return nil
	}
}

func crashAndRestart(mode journaltest.Crash) func(*simulation, *simHost) error {
	return stopAndRestart(func(s *simHost) { s.crash(mode) })
}

// kill ends the node, also in the midst of a pass.
func (s *simHost) kill(end func()) {
	if !s.inPass {
		end()
		return
	}
	s.onKill = end
	panic(errKilled)
}

// restartAfterExit starts the site again once its node has ended by itself.
func restartAfterExit(w *simulation, s *simHost) {
	life := s.incarnation
	var check func()
	check = func() {
		if s.incarnation == life && s.node != nil {
			w.after(100*time.Millisecond, check)
			return
		}
		w.after(w.faultTime(), s.start)
	}
	check()
}

// cutFor cuts the site's messages in the given directions for a while.
func cutFor(w *simulation, s *simHost, in, out bool, d time.Duration) {
	for _, other := range w.hosts {
		if in {
			w.cut[[2]string{other.addr, s.addr}] = true
		}
		if out {
			w.cut[[2]string{s.addr, other.addr}] = true
		}
	}
	w.after(d, func() { clear(w.cut) })
}

// cutLink cuts both directions between two sites.
func cutLink(w *simulation, a, b *simHost) {
	w.cut[[2]string{a.addr, b.addr}] = true
	w.cut[[2]string{b.addr, a.addr}] = true
}

var faults = []fault{
	{"kill", journaltest.OpSync, crashAndRestart(journaltest.KeepAll)},
	{"kill with lost unsynced writes", journaltest.OpSync, crashAndRestart(journaltest.LoseUnsynced)},
	{"kill with reordered unsynced writes", journaltest.OpSync, crashAndRestart(journaltest.Reorder)},
	{"torn tail", journaltest.OpSync, crashAndRestart(journaltest.TearTail)},
	{"lost disk", journaltest.OpSync, stopAndRestart((*simHost).loseDisk)},
	{"failed sync", journaltest.OpSync, func(w *simulation, s *simHost) error {
		s.fs.Hook = func(op journaltest.Op, _ string) error {
			if op == journaltest.OpSync {
				return journaltest.ErrSync
			}
			return nil
		}
		restartAfterExit(w, s)
		return journaltest.ErrSync
	}},
	{"full disk", journaltest.OpWrite, func(w *simulation, s *simHost) error {
		s.fs.FreeBytes = w.r.IntN(300)
		restartAfterExit(w, s)
		return nil
	}},
	{"freeze and thaw", journaltest.OpSync, temporary(func(w *simulation, s *simHost, d time.Duration) { s.frozenUntil = w.now + d })},
	{"two-way cut", journaltest.OpSync, temporary(func(w *simulation, s *simHost, d time.Duration) { cutFor(w, s, true, true, d) })},
	{"one-way cut, incoming", journaltest.OpSync, temporary(func(w *simulation, s *simHost, d time.Duration) {
		cutFor(w, s, true, false, d)
	})},
	{"one-way cut, outgoing", journaltest.OpSync, temporary(func(w *simulation, s *simHost, d time.Duration) {
		cutFor(w, s, false, true, d)
	})},
	{"cut of one link", journaltest.OpSync, temporary(func(w *simulation, s *simHost, d time.Duration) {
		cutLink(w, s, w.hosts[w.r.IntN(len(w.hosts))])
		w.after(d, func() { clear(w.cut) })
	})},
	{"one slow link", journaltest.OpSync, temporary(func(w *simulation, s *simHost, d time.Duration) {
		link := [2]string{s.addr, w.hosts[w.r.IntN(len(w.hosts))].addr}
		w.slow[link] = w.faultTime()
		w.after(d, func() { delete(w.slow, link) })
	})},
	{"messages lost", journaltest.OpSync, temporary(func(w *simulation, _ *simHost, d time.Duration) {
		w.dropPct = 30
		w.after(d, func() { w.dropPct = 0 })
	})},
	{"messages late", journaltest.OpSync, temporary(func(w *simulation, _ *simHost, d time.Duration) {
		w.delayPct = 50
		w.after(d, func() { w.delayPct = 0 })
	})},
	{"messages doubled", journaltest.OpSync, temporary(func(w *simulation, _ *simHost, d time.Duration) {
		w.duplicatePct = 100
		w.after(d, func() { w.duplicatePct = 0 })
	})},
	{"messages reordered", journaltest.OpSync, temporary(func(w *simulation, _ *simHost, d time.Duration) {
		w.delayPct, w.maxDelay = 100, 40*time.Millisecond
		w.after(d, func() { w.delayPct, w.maxDelay = 0, defaultMaxDelay })
	})},
}
