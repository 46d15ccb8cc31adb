package announce

import (
	"sync"
	"time"
)

const (
	// replyBytes is about what one answer to an announcement takes, with its
	// headers, and replyRate the bytes a second that all of them should take.
	replyBytes = 170
	replyRate  = 1400
	// maxPaceTargets bounds the targets counted.
	maxPaceTargets = 4096
)

// pacer says how often targets should announce, so that the answers keep
// within replyRate however many targets use one router. The interval never
// passes longest, which leaves several tries within a lease.
type pacer struct {
	shortest time.Duration
	longest  time.Duration
	window   time.Duration

	mu       sync.Mutex
	since    time.Time
	current  map[string]struct{}
	previous int
	// surplus targets are to be sent to other routers in this window.
	surplus int
}

func newPacer(every, lease time.Duration) *pacer {
	return &pacer{
		shortest: every,
		longest:  max(every, lease*2/5),
		window:   lease,
		current:  make(map[string]struct{}),
	}
}

// every returns when a target should announce next.
func (p *pacer) every(id string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) > p.window {
		p.previous, p.since = len(p.current), now
		p.surplus = p.previous - p.most()
		clear(p.current)
	}
	if len(p.current) < maxPaceTargets {
		p.current[id] = struct{}{}
	}
	targets := max(p.previous, len(p.current))
	wanted := time.Duration(targets) * replyBytes * time.Second / replyRate
	return min(max(wanted, p.shortest), p.longest)
}

// most returns the targets whose answers keep within replyRate at the longest
// interval.
func (p *pacer) most() int {
	return int(replyRate * p.longest / (replyBytes * time.Second))
}

// fleetSize is the number of targets and routers that are known.
type fleetSize struct{ targets, routers int }

// sendsAway tells whether a target should use another router. It answers targets
// that happen to choose the same router; where all routers have that many, they stay.
func (p *pacer) sendsAway(known fleetSize) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.surplus <= 0 || known.targets >= known.routers*p.most() {
		return false
	}
	p.surplus--
	return true
}
