package replica

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

// fault is one thing that goes wrong at a site for a while. It may strike in
// the midst of a step; the error is then that of the file operation under way.
type fault struct {
	name string
	// at is the operation on the log at which it strikes in an append.
	at     journaltest.Op
	strike func(w *world, s *site) error
}

// lasting is a fault that only changes the world around the site.
func lasting(start func(w *world, s *site, d time.Duration)) func(*world, *site) error {
	return func(w *world, s *site) error {
		start(w, s, w.faultTime())
		return nil
	}
}

// faultTime draws how long a fault lasts.
func (w *world) faultTime() time.Duration {
	return 50*time.Millisecond + time.Duration(w.r.Int64N(int64(3*time.Second)))
}

// dying ends the node where it is and starts it again later.
func dying(end func(*site)) func(*world, *site) error {
	return func(w *world, s *site) error {
		w.after(w.faultTime(), s.start)
		s.kill(func() { end(s) })
		return nil
	}
}

func crashing(mode journaltest.Crash) func(*world, *site) error {
	return dying(func(s *site) { s.crash(mode) })
}

// kill ends the node, also in the midst of a pass.
func (s *site) kill(end func()) {
	if !s.passing {
		end()
		return
	}
	s.onKill = end
	panic(errKilled)
}

// restartOnce starts the site again once its node has ended by itself.
func restartOnce(w *world, s *site) {
	life := s.life
	var check func()
	check = func() {
		if s.life == life && s.node != nil {
			w.after(100*time.Millisecond, check)
			return
		}
		w.after(w.faultTime(), s.start)
	}
	check()
}

// cutFor cuts the site's messages in the given directions for a while.
func cutFor(w *world, s *site, in, out bool, d time.Duration) {
	for _, other := range w.sites {
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
func cutLink(w *world, a, b *site) {
	w.cut[[2]string{a.addr, b.addr}] = true
	w.cut[[2]string{b.addr, a.addr}] = true
}

var faults = []fault{
	{"kill", journaltest.OpSync, crashing(journaltest.KeepAll)},
	{"kill with lost unsynced writes", journaltest.OpSync, crashing(journaltest.LoseUnsynced)},
	{"kill with reordered unsynced writes", journaltest.OpSync, crashing(journaltest.Reorder)},
	{"torn tail", journaltest.OpSync, crashing(journaltest.TearTail)},
	{"lost disk", journaltest.OpSync, dying((*site).loseDisk)},
	{"failed sync", journaltest.OpSync, func(w *world, s *site) error {
		s.fs.Hook = func(op journaltest.Op, _ string) error {
			if op == journaltest.OpSync {
				return journaltest.ErrSync
			}
			return nil
		}
		restartOnce(w, s)
		return journaltest.ErrSync
	}},
	{"full disk", journaltest.OpWrite, func(w *world, s *site) error {
		s.fs.FreeBytes = w.r.IntN(300)
		restartOnce(w, s)
		return nil
	}},
	{"freeze and thaw", journaltest.OpSync, lasting(func(w *world, s *site, d time.Duration) { s.thaw = w.now + d })},
	{"two-way cut", journaltest.OpSync, lasting(func(w *world, s *site, d time.Duration) { cutFor(w, s, true, true, d) })},
	{"one-way cut, incoming", journaltest.OpSync, lasting(func(w *world, s *site, d time.Duration) {
		cutFor(w, s, true, false, d)
	})},
	{"one-way cut, outgoing", journaltest.OpSync, lasting(func(w *world, s *site, d time.Duration) {
		cutFor(w, s, false, true, d)
	})},
	{"cut of one link", journaltest.OpSync, lasting(func(w *world, s *site, d time.Duration) {
		cutLink(w, s, w.sites[w.r.IntN(len(w.sites))])
		w.after(d, func() { clear(w.cut) })
	})},
	{"one slow link", journaltest.OpSync, lasting(func(w *world, s *site, d time.Duration) {
		link := [2]string{s.addr, w.sites[w.r.IntN(len(w.sites))].addr}
		w.slow[link] = w.faultTime()
		w.after(d, func() { delete(w.slow, link) })
	})},
	{"messages lost", journaltest.OpSync, lasting(func(w *world, _ *site, d time.Duration) {
		w.dropPct = 30
		w.after(d, func() { w.dropPct = 0 })
	})},
	{"messages late", journaltest.OpSync, lasting(func(w *world, _ *site, d time.Duration) {
		w.latePct = 50
		w.after(d, func() { w.latePct = 0 })
	})},
	{"messages doubled", journaltest.OpSync, lasting(func(w *world, _ *site, d time.Duration) {
		w.doublePct = 100
		w.after(d, func() { w.doublePct = 0 })
	})},
	{"messages reordered", journaltest.OpSync, lasting(func(w *world, _ *site, d time.Duration) {
		w.latePct, w.lateBy = 100, 40*time.Millisecond
		w.after(d, func() { w.latePct, w.lateBy = 0, maxLate })
	})},
}
