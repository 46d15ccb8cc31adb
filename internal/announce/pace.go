package announce

import (
	"sync"
	"time"
)

const (
	// replyBytes is the approximate size of one reply to an announcement with its
	// headers. replyBytesPerSecond is the rate at which a router replies to
	// announcements when its targets keep to the announce interval. A router cannot
	// drop these replies when its control budget is used up, so only the interval
	// limits them. At a quarter of the budget, five targets at one router would
	// announce every second, which let leases of 2.5 s expire.
	replyBytes          = 170
	replyBytesPerSecond = 1400
	// maxCountedTargets bounds the targets counted in one window.
	maxCountedTargets = 4096
)

// pacer sets the announce interval of targets in proportion to the number of
// targets that use this router, so that the replies stay within
// replyBytesPerSecond. The interval never exceeds maxInterval, which leaves time for
// several announcements within a lease; with more than maxTargets targets, the
// surplus is redirected to other routers.
//
// The pacer counts the distinct targets in windows of one lease. It uses the larger
// of the counts of the previous and the current window, since the current count is
// incomplete.
type pacer struct {
	minInterval time.Duration
	maxInterval time.Duration
	window      time.Duration

	mu             sync.Mutex
	windowStart    time.Time
	currentTargets map[string]struct{}
	previousCount  int
	// surplus is the number of targets that are still to be redirected to other
	// routers in this window.
	surplus int
}

func newPacer(minInterval, lease time.Duration) *pacer {
	return &pacer{
		minInterval:    minInterval,
		maxInterval:    max(minInterval, lease*2/5),
		window:         lease,
		currentTargets: make(map[string]struct{}),
	}
}

// interval counts the target and returns its wait until the next announcement.
func (p *pacer) interval(id string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.windowStart) > p.window {
		p.previousCount, p.windowStart = len(p.currentTargets), now
		p.surplus = p.previousCount - p.maxTargets()
		clear(p.currentTargets)
	}
	if len(p.currentTargets) < maxCountedTargets {
		p.currentTargets[id] = struct{}{}
	}
	targets := max(p.previousCount, len(p.currentTargets))
	required := time.Duration(targets) * replyBytes * time.Second / replyBytesPerSecond
	return min(max(required, p.minInterval), p.maxInterval)
}

// maxTargets returns the number of targets whose replies stay within
// replyBytesPerSecond at the longest interval.
func (p *pacer) maxTargets() int {
	return int(replyBytesPerSecond * p.maxInterval / (replyBytes * time.Second))
}

// fleetSize is the number of known targets and routers.
type fleetSize struct{ targets, routers int }

// redirect reports whether a target should move to another router, and if so
// decrements the surplus. Targets select their router at random, so a router may
// have more than maxTargets targets while others have fewer. If the average over all
// routers is maxTargets or more, no target is redirected.
func (p *pacer) redirect(known fleetSize) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.surplus <= 0 || known.targets >= known.routers*p.maxTargets() {
		return false
	}
	p.surplus--
	return true
}
