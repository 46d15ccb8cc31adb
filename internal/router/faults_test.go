package router

import "time"

// fault is one row of the table.
type fault struct {
	name   string
	strike func(w *world)
	// leaves tells that the caller must give the first router up.
	leaves bool
	// cannot says why a cell can't occur, "" if it can.
	cannot func(k kind, s step) string
	// wait is the router's bound on a silent target. It is long where nothing is
	// silent, so that a busy machine doesn't end the request before its step.
	wait time.Duration
}

func atTarget(_ kind, s step) string {
	if s >= atStored {
		return "the target's part is over"
	}
	return ""
}

func beforeAnswer(k kind, s step) string {
	if s >= atAnswerFirst {
		return "the answer's header was sent"
	}
	return ""
}

func always(kind, step) string { return "" }

var faults = []fault{
	{"router-killed", func(w *world) { w.first.kill() }, true, always, soundWait},
	{"router-frozen", func(w *world) { w.first.freeze() }, true, always, tryWait},
	{"router-cut", func(w *world) { w.first.partition() }, false, always, tryWait},
	{"target-killed", func(w *world) { w.targets[0].kill() }, false, always, soundWait},
	{"target-frozen", func(w *world) { w.targets[0].freeze() }, false, always, tryWait},
	{"target-closing", func(w *world) { w.targets[0].shut() }, false, always, soundWait},
	{"target-late", func(w *world) { w.targets[0].set(func() { w.targets[0].late = 2 * tryWait }) }, false, atTarget, tryWait},
	{"target-crossed", func(w *world) { w.targets[0].set(func() { w.targets[0].crossed = true }) }, false, beforeAnswer, soundWait},
	{"target-cuts-body", func(w *world) { w.targets[0].set(func() { w.targets[0].cut = true }) }, false, atTarget, soundWait},
	{"connection-silent", func(w *world) { w.first.silence() }, false, always, tryWait},
	{"leader-changes", func(w *world) { w.changes.Store(1) }, false, always, soundWait},
	{"caller-resends", func(w *world) {
		r := w.send(w.second, w.kind, "order")
		w.mu.Lock()
		w.extra = append(w.extra, r)
		w.mu.Unlock()
	}, false, func(k kind, _ step) string {
		if k == unkeyed {
			return "without a key it is another request"
		}
		return ""
	}, soundWait},
	{"caller-leaves", func(w *world) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.caller.Close()
	}, false, always, soundWait},
}

// cannotOccur says why no fault strikes a request of this kind at this step.
func cannotOccur(f fault, k kind, s step, reused bool) string {
	claims := s == atClaimProposed || s == atClaimCommitted || s == atStored
	switch {
	case k != keyed && claims:
		return "no claim is made"
	case s == atDial && reused && k.idempotent():
		return "the connection to the target is kept"
	}
	return f.cannot(k, s)
}
