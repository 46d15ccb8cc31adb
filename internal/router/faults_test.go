package router

import "time"

// fault is one row of the table.
type fault struct {
	name   string
	inject func(w *testCluster)
	// callerLeaves tells that the caller must give the first router up.
	callerLeaves bool
	// impossible says why a cell can't occur, "" if it can.
	impossible func(k requestKind, s faultPoint) string
	// targetTimeout is the router's bound on a silent target. It is long where nothing is
	// silent, so that a busy machine doesn't end the request before its step.
	targetTimeout time.Duration
}

func targetInvolved(_ requestKind, s faultPoint) string {
	if s >= atStored {
		return "the target's part is over"
	}
	return ""
}

func headerNotSent(k requestKind, s faultPoint) string {
	if s >= atAnswerFirst {
		return "the answer's header was sent"
	}
	return ""
}

func alwaysPossible(requestKind, faultPoint) string { return "" }

var faults = []fault{
	{"router-killed", func(w *testCluster) { w.first.kill() }, true, alwaysPossible, longTargetTimeout},
	{"router-frozen", func(w *testCluster) { w.first.freeze() }, true, alwaysPossible, shortTargetTimeout},
	{"router-cut", func(w *testCluster) { w.first.partition() }, false, alwaysPossible, shortTargetTimeout},
	{"target-killed", func(w *testCluster) { w.targets[0].kill() }, false, alwaysPossible, longTargetTimeout},
	{"target-frozen", func(w *testCluster) { w.targets[0].freeze() }, false, alwaysPossible, shortTargetTimeout},
	{"target-closing", func(w *testCluster) { w.targets[0].closeGracefully() }, false, alwaysPossible, longTargetTimeout},
	{"target-late", func(w *testCluster) { w.targets[0].withLock(func() { w.targets[0].delay = 2 * shortTargetTimeout }) }, false, targetInvolved, shortTargetTimeout},
	{"target-crossed", func(w *testCluster) { w.targets[0].withLock(func() { w.targets[0].mismatched = true }) }, false, headerNotSent, longTargetTimeout},
	{"target-cuts-body", func(w *testCluster) { w.targets[0].withLock(func() { w.targets[0].cut = true }) }, false, targetInvolved, longTargetTimeout},
	{"connection-silent", func(w *testCluster) { w.first.silenceConns() }, false, alwaysPossible, shortTargetTimeout},
	{"leader-changes", func(w *testCluster) { w.leaderChanges.Store(1) }, false, alwaysPossible, longTargetTimeout},
	{"caller-resends", func(w *testCluster) {
		r := w.send(w.second, w.kind, "order")
		w.mu.Lock()
		w.extraReplies = append(w.extraReplies, r)
		w.mu.Unlock()
	}, false, func(k requestKind, _ faultPoint) string {
		if k == unkeyed {
			return "without a key it is another request"
		}
		return ""
	}, longTargetTimeout},
	{"caller-leaves", func(w *testCluster) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.caller.Close()
	}, false, alwaysPossible, longTargetTimeout},
}

// cannotOccur says why no fault strikes a request of this kind at this step.
func cannotOccur(f fault, k requestKind, s faultPoint, reused bool) string {
	claims := s == atClaimProposed || s == atClaimCommitted || s == atStored
	switch {
	case k != keyed && claims:
		return "no claim is made"
	case s == atDial && reused && k.idempotent():
		return "the connection to the target is kept"
	}
	return f.impossible(k, s)
}
