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
	maxPeers = 64
	// maxFailedTargets bounds the targets of one window whose failures are kept apart.
	maxFailedTargets = 256
	maxPeerTrials    = 1_000_000
	// falseHold is the accepted probability that a sound part fails as often in a row
	// as is required for a hold.
	falseHold = 1e-6
)

// baseline estimates the probability that an engine ends under a sound request, from the
// requests of this router and from the counts that others send.
type baseline struct {
	began             time.Time
	current, previous window
	peers             map[string]peerCounts
}

// window holds the counts of one window, and the failures at each target that ended.
type window struct {
	counts
	failuresAt map[uint64]int
}

type counts struct{ trials, failures int }

func (c counts) plus(other counts) counts {
	return counts{c.trials + other.trials, c.failures + other.failures}
}

// peerCounts are the counts that another router sent.
type peerCounts struct {
	counts
	failuresAt map[uint64]int
	at         time.Time
}

// addAnswer counts a request that was answered.
func (b *baseline) addAnswer(now time.Time) {
	b.advance(now)
	b.current.trials++
}

// addFailure counts a request under which a target ended.
func (b *baseline) addFailure(now time.Time, target uint64) {
	b.advance(now)
	b.current.trials++
	b.current.failures++
	if b.current.failuresAt == nil {
		b.current.failuresAt = make(map[uint64]int)
	}
	if _, known := b.current.failuresAt[target]; known || len(b.current.failuresAt) < maxFailedTargets {
		b.current.failuresAt[target]++
	}
}

// own returns the counts of this router over the last one to two windows.
func (b *baseline) own(now time.Time) counts {
	b.advance(now)
	return b.current.plus(b.previous.counts)
}

// merge replaces the counts of another router. If maxPeers are known, those that were
// received first are replaced.
func (b *baseline) merge(now time.Time, router string, c counts, failuresAt map[uint64]int) {
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
	b.peers[router] = peerCounts{counts: c, failuresAt: failuresAt, at: now}
}

// rate returns the failure rate over the last one to two windows, apart from the given
// number of failures. These are the crashes under the part that the rate is compared with:
// where there are few requests, they would raise the rate and so hide the part.
func (b *baseline) rate(now time.Time, apart int) float64 {
	sum := b.total(now)
	return sum.rate(min(apart, sum.failures))
}

// total returns the counts of this router and of the others.
func (b *baseline) total(now time.Time) counts {
	sum := b.own(now)
	for p := range b.freshPeers(now) {
		sum = sum.plus(p.counts)
	}
	return sum
}

// failuresAt returns the known number of requests that failed at a target, at all routers.
func (b *baseline) failuresAt(now time.Time, target uint64) int {
	b.advance(now)
	n := b.current.failuresAt[target] + b.previous.failuresAt[target]
	for p := range b.freshPeers(now) {
		n += p.failuresAt[target]
	}
	return n
}

// freshPeers yields the counts of other routers that belong to the present windows.
func (b *baseline) freshPeers(now time.Time) func(yield func(peerCounts) bool) {
	return func(yield func(peerCounts) bool) {
		for _, p := range b.peers {
			if now.Sub(p.at) < 2*baselineWindow && !yield(p) {
				return
			}
		}
	}
}

// rateWithout returns the failure rate over the last one to two windows without the requests
// that failed at the targets that ended under one request. That request may have ended them,
// and each had many requests: as failures, they would hide it. The failure that stands for
// earlier requests is left out too.
func (b *baseline) rateWithout(now time.Time, crashes []crash) float64 {
	apart := priorFailures
	for _, c := range crashes {
		apart += b.failuresAt(now, c.target)
	}
	return b.total(now).rate(apart)
}

// rate returns the failure rate apart from the given number of failures.
func (c counts) rate(apart int) float64 {
	c = c.plus(counts{priorTrials, priorFailures})
	apart = min(apart, c.failures)
	c = c.plus(counts{-apart, -apart})
	return float64(c.failures) / float64(c.trials)
}

func (b *baseline) advance(now time.Time) {
	switch elapsed := now.Sub(b.began); {
	case elapsed < baselineWindow:
		return
	case elapsed < 2*baselineWindow:
		b.previous = b.current
	default:
		b.previous = window{}
	}
	b.current = window{}
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
