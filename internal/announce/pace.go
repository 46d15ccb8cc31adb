package announce

import (
	"sync"
	"time"
)

const (
	// replyBytes is about what one answer to an announcement takes, with its
	// headers, and replyRate the bytes a second that all of them should take.
	replyBytes          = 170
	replyBytesPerSecond = 1400
	// maxCountedTargets bounds the targets counted.
	maxCountedTargets = 4096
)

// pacer says how often targets should announce, so that the answers keep
// within replyRate however many targets use one router. The interval never
// passes longest, which leaves several tries within a lease.
type pacer struct {
	minInterval time.Duration
	maxInterval time.Duration
	window      time.Duration

	mu             sync.Mutex
	windowStart    time.Time
	currentTargets map[string]struct{}
	previousCount  int
	// surplus targets are to be sent to other routers in this window.
	surplus int
}

func newPacer(every, lease time.Duration) *pacer {
	return &pacer{
		minInterval:    every,
		maxInterval:    max(every, lease*2/5),
		window:         lease,
		currentTargets: make(map[string]struct{}),
	}
}

// interval returns when a target should announce next.
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
	wanted := time.Duration(targets) * replyBytes * time.Second / replyBytesPerSecond
	return min(max(wanted, p.minInterval), p.maxInterval)
}

// maxTargets returns the targets whose answers keep within replyRate at the longest
// interval.
func (p *pacer) maxTargets() int {
	return int(replyBytesPerSecond * p.maxInterval / (replyBytes * time.Second))
}

// fleetSize is the number of targets and routers that are known.
type fleetSize struct{ targets, routers int }

// redirect tells whether a target should use another router. It answers targets
// that happen to choose the same router; where all routers have that many, they stay.
func (p *pacer) redirect(known fleetSize) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.surplus <= 0 || known.targets >= known.routers*p.maxTargets() {
		return false
	}
	p.surplus--
	return true
}
