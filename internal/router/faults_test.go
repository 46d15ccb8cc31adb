package router

import "time"

// fault is one row of the fault table.
type fault struct {
	name   string
	inject func(tc *testCluster)
	// callerLeaves is set if the fault stops the first router from answering, so
	// that the caller must disconnect from it.
	callerLeaves bool
	// impossible returns why the fault can't occur for a request of kind k at
	// point at, or "" if it can.
	impossible func(k requestKind, at faultPoint) string
	// targetTimeout is the router's time limit for a silent target. It is long for
	// faults that silence no target, so that a slow machine does not end the
	// request before it reaches the fault point.
	targetTimeout time.Duration
}

// targetInvolved excludes the points after the target finished its response.
func targetInvolved(_ requestKind, at faultPoint) string {
	if at >= atStored {
		return "the target's part is over"
	}
	return ""
}

// headerNotSent excludes the points after the target sent its response header.
func headerNotSent(k requestKind, at faultPoint) string {
	if at >= atAnswerFirst {
		return "the answer's header was sent"
	}
	return ""
}

// alwaysPossible excludes no point.
func alwaysPossible(requestKind, faultPoint) string { return "" }

var faults = []fault{
	{"router-killed", func(tc *testCluster) { tc.first.kill() }, true, alwaysPossible, longTargetTimeout},
	{"router-frozen", func(tc *testCluster) { tc.first.freeze() }, true, alwaysPossible, shortTargetTimeout},
	{"router-cut", func(tc *testCluster) { tc.first.partition() }, false, alwaysPossible, shortTargetTimeout},
	{"target-killed", func(tc *testCluster) { tc.targets[0].kill() }, false, alwaysPossible, longTargetTimeout},
	{"target-frozen", func(tc *testCluster) { tc.targets[0].freeze() }, false, alwaysPossible, shortTargetTimeout},
	{"target-closing", func(tc *testCluster) { tc.targets[0].closeGracefully() }, false, alwaysPossible, longTargetTimeout},
	{"target-late", func(tc *testCluster) { tc.targets[0].withLock(func() { tc.targets[0].delay = 2 * shortTargetTimeout }) }, false, targetInvolved, shortTargetTimeout},
	{"target-crossed", func(tc *testCluster) { tc.targets[0].withLock(func() { tc.targets[0].mismatched = true }) }, false, headerNotSent, longTargetTimeout},
	{"target-cuts-body", func(tc *testCluster) { tc.targets[0].withLock(func() { tc.targets[0].cut = true }) }, false, targetInvolved, longTargetTimeout},
	{"connection-silent", func(tc *testCluster) { tc.first.silenceConns() }, false, alwaysPossible, shortTargetTimeout},
	{"leader-changes", func(tc *testCluster) { tc.leaderChanges.Store(1) }, false, alwaysPossible, longTargetTimeout},
	{"caller-resends", func(tc *testCluster) {
		r := tc.send(tc.second, tc.kind, "order")
		tc.mu.Lock()
		tc.extraReplies = append(tc.extraReplies, r)
		tc.mu.Unlock()
	}, false, func(k requestKind, _ faultPoint) string {
		if k == unkeyed {
			return "without a key it is another request"
		}
		return ""
	}, longTargetTimeout},
	{"caller-leaves", func(tc *testCluster) {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.caller.Close()
	}, false, alwaysPossible, longTargetTimeout},
}

// cannotOccur returns why fault f can't occur for a request of this kind at this
// point, or "" if it can.
func cannotOccur(f fault, k requestKind, at faultPoint, reused bool) string {
	claims := at == atClaimProposed || at == atClaimCommitted || at == atStored
	switch {
	case k != keyed && claims:
		return "no claim is made"
	case at == atDial && reused && k.idempotent():
		return "the connection to the target is kept"
	}
	return f.impossible(k, at)
}
