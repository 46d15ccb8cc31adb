package quarantine

import (
	"math"
	"time"
)

const (
	// baselineWindow is the length of each of the two windows over which the failure
	// rate of requests is computed.
	baselineWindow = 5 * time.Second
	// priorTrials and priorFailures stand for the requests before the first ones. They
	// keep the rate of a router with few requests from being zero.
	priorTrials   = 40
	priorFailures = 1
	// maxPeers bounds the routers whose counts are kept, maxPeerTrials their counts.
	maxPeers      = 64
	maxPeerTrials = 1_000_000
	// falseHold is the accepted probability that a sound part fails as often in a row
	// as is required for a hold.
	falseHold = 1e-6
)

// baseline estimates the probability that an engine ends under a sound request, from the
// requests of this router and from the counts that others send.
type baseline struct {
	began             time.Time
	current, previous counts
	peers             map[string]peerCounts
}

type counts struct{ trials, failures int }

func (c counts) plus(other counts) counts {
	return counts{c.trials + other.trials, c.failures + other.failures}
}

// peerCounts are the counts that another router sent.
type peerCounts struct {
	counts
	at time.Time
}

// add counts a request.
func (b *baseline) add(now time.Time, failed bool) {
	b.advance(now)
	b.current.trials++
	if failed {
		b.current.failures++
	}
}

// own returns the counts of this router over the last one to two windows.
func (b *baseline) own(now time.Time) counts {
	b.advance(now)
	return b.current.plus(b.previous)
}

// merge replaces the counts of another router. If maxPeers are known, those that were
// received first are replaced.
func (b *baseline) merge(now time.Time, router string, c counts) {
	if c.trials < 0 || c.failures < 0 || c.failures > c.trials || c.trials > maxPeerTrials {
		return
	}
	if b.peers == nil {
		b.peers = make(map[string]peerCounts)
	}
	if _, known := b.peers[router]; !known && len(b.peers) >= maxPeers {
		oldest := router
		for id, p := range b.peers {
			if oldest == router || p.at.Before(b.peers[oldest].at) {
				oldest = id
			}
		}
		delete(b.peers, oldest)
	}
	b.peers[router] = peerCounts{counts: c, at: now}
}

// rate returns the failure rate over the last one to two windows, apart from the given
// number of failures. These are the crashes under the part that the rate is compared with:
// where there are few requests, they would raise the rate and so hide the part.
func (b *baseline) rate(now time.Time, apart int) float64 {
	sum := b.own(now)
	for _, p := range b.peers {
		if now.Sub(p.at) < 2*baselineWindow {
			sum = sum.plus(p.counts)
		}
	}
	apart = min(apart, sum.failures)
	sum = sum.plus(counts{priorTrials - apart, priorFailures - apart})
	return float64(sum.failures) / float64(sum.trials)
}

func (b *baseline) advance(now time.Time) {
	switch elapsed := now.Sub(b.began); {
	case elapsed < baselineWindow:
		return
	case elapsed < 2*baselineWindow:
		b.previous = b.current
	default:
		b.previous = counts{}
	}
	b.current = counts{}
	b.began = now
}

// requiredCrashes returns the number of crashes in a row, without an answer between them,
// that a part must have to be held. A sound part fails that often by chance with a
// probability of at most falseHold. In a failure of many engines, the number exceeds
// maxCrashes and no part is held.
func requiredCrashes(failureRate float64, answeredBefore bool) int {
	n := maxCrashes + 1
	if failureRate < 1 {
		n = max(minCrashes, int(math.Ceil(math.Log(falseHold)/math.Log(failureRate))))
	}
	if answeredBefore {
		n += answeredBeforeCrashes
	}
	return n
}
