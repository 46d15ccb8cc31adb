// Package budget counts the bytes that a process sends and receives and limits its
// control and probe traffic to one rate. One token bucket covers all of this
// traffic. Each class of traffic leaves a reserve in the bucket for the classes of
// higher priority.
//
// The package does not send, queue or delay messages. The sender of a message that
// the budget does not allow decides whether to wait or to drop the message.
package budget

import (
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Class is a kind of traffic. A lower number has a higher priority.
type Class int

// The classes within the budget come first, in order of priority. The classes
// outside the budget follow; their bytes are only counted.
const (
	// Lease covers this router's requests for configuration leases. All other calls
	// to control replicas belong to Request.
	Lease Class = iota
	// Drain covers updates which say that a target or router is leaving.
	Drain
	// Liveness covers probes and replies without load reports and piggybacked updates,
	// and all other membership updates.
	Liveness
	// Load covers in-flight counts, and probes and replies that carry load reports or
	// piggybacked updates. Such a reply may also carry renewals of targets' leases.
	Load
	// Hint covers cache hints.
	Hint
	// Announce covers the replies to targets that announce themselves. These
	// replies cannot be refused.
	Announce
	// Replica covers the state traffic of a control replica, outside the budget.
	Replica
	// Request covers traffic on behalf of callers' requests, outside the budget.
	Request
	// Report covers operators' queries to all routers, outside the budget.
	Report

	numClasses
	// numBudgeted is the number of classes within the budget.
	numBudgeted = Replica
)

var classNames = [numClasses]string{"lease", "drain", "liveness", "load", "hint", "announce", "replica", "request", "report"}

// String returns the name of the class in metrics.
func (c Class) String() string { return classNames[c] }

const (
	// maxBytesPerWindow is the maximum number of bytes that one process may send
	// within the budget in any window of budgetWindowSeconds: 4 KB/s on average.
	maxBytesPerWindow   = 4096 * budgetWindowSeconds
	budgetWindowSeconds = 5
	// DefaultBurstBytes is the capacity of the token bucket: the number of bytes
	// that may be sent at once after an idle time.
	DefaultBurstBytes = 4096
	// DefaultBytesPerSecond is the rate of one process. One burst plus traffic at
	// this rate over the full window add up to maxBytesPerWindow.
	DefaultBytesPerSecond = (maxBytesPerWindow - DefaultBurstBytes) / budgetWindowSeconds
)

// reservedEighths is, for each class, the part of the burst that the class must
// leave to the classes of higher priority, in eighths. Replies to targets are
// charged after they were sent, without this check; announceDivisor limits them.
var reservedEighths = [numBudgeted]int{0, 0, 1, 2, 4, 4}

// leaseDivisor limits lease requests to 1/leaseDivisor of the rate and of the
// burst. Without this limit, routers that search for a leader would have no bytes
// left to probe each other.
const leaseDivisor = 4

const (
	// announceDivisor limits what replies to targets take from the budget to
	// 1/announceDivisor of the rate and of the burst.
	announceDivisor = 4
	// AnnounceReplyBytesPerSecond is the part of the default rate that replies to
	// targets can take. Further replies are sent as well, but are counted as
	// excess instead of being charged to the budget.
	AnnounceReplyBytesPerSecond = DefaultBytesPerSecond / announceDivisor
)

// Config holds the settings of a Budget. Zero fields mean the defaults.
type Config struct {
	BytesPerSecond int
	BurstBytes     int
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Budget counts and limits the traffic of one process. It implements
// transport.Meter and transport.SendLimiter for the calls that the process makes.
type Budget struct {
	rate            int
	burst           int
	limiter         *rate.Limiter
	leaseLimiter    *rate.Limiter
	announceLimiter *rate.Limiter

	mu sync.Mutex
	// latest is the latest time passed to a method.
	latest time.Time
	window window
	stats  Stats

	sent     [numClasses]tally.Counter
	received [numClasses]tally.Counter
	refused  [numClasses]tally.Counter
	excess   tally.Counter
}

// Stats holds the bytes counted since the start, by class.
type Stats struct {
	Sent     [numClasses]int64
	Received [numClasses]int64
	// Refused counts the bytes that the budget did not allow.
	Refused [numClasses]int64
	// Excess counts the bytes of replies to targets beyond their part of the rate.
	Excess int64
}

// ControlSent returns the bytes sent in all classes within the budget.
func (s Stats) ControlSent() int64 {
	sum := int64(0)
	for _, n := range s.Sent[:numBudgeted] {
		sum += n
	}
	return sum
}

// ControlReceived returns the bytes received in all classes within the budget.
func (s Stats) ControlReceived() int64 {
	sum := int64(0)
	for _, n := range s.Received[:numBudgeted] {
		sum += n
	}
	return sum
}

// New returns a budget whose token buckets are full.
func New(cfg Config) *Budget {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.BurstBytes == 0 {
		cfg.BurstBytes = DefaultBurstBytes
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	b := &Budget{
		rate:            cfg.BytesPerSecond,
		burst:           cfg.BurstBytes,
		limiter:         rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.BurstBytes),
		leaseLimiter:    rate.NewLimiter(rate.Limit(cfg.BytesPerSecond/leaseDivisor), cfg.BurstBytes/leaseDivisor),
		announceLimiter: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond/announceDivisor), cfg.BurstBytes/announceDivisor),
		excess:          cfg.Scope.Counter("control_excess_bytes"),
	}
	for c := range numClasses {
		scope := cfg.Scope.Tagged(map[string]string{"class": c.String()})
		b.sent[c] = scope.Counter("control_sent_bytes")
		b.received[c] = scope.Counter("control_received_bytes")
		b.refused[c] = scope.Counter("control_refused_bytes")
	}
	return b
}

// Rate returns the rate in bytes per second.
func (b *Budget) Rate() int { return b.rate }

// Allow reports whether the budget allows a message of n bytes in class c now, and
// takes the bytes from the token bucket if it does. Otherwise the caller must wait
// or drop the message. A class may use all bytes except the reserve of the classes
// of higher priority. Classes outside the budget are always allowed.
func (b *Budget) Allow(c Class, n int) bool { return b.AllowAt(time.Now(), c, n) }

// AllowAt is like Allow, with now as the current time.
func (b *Budget) AllowAt(now time.Time, c Class, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.monotonicLocked(now)
	if c < numBudgeted && !b.spendLocked(now, c, n) {
		b.stats.Refused[c] += int64(n)
		b.refused[c].Inc(int64(n))
		return false
	}
	b.countSentLocked(c, n)
	return true
}

// monotonicLocked returns the later of now and the latest time passed in before.
// Callers read the clock before they acquire the lock, so times can arrive out of
// order. A rate.Limiter whose time goes backwards would credit the time in between
// twice.
func (b *Budget) monotonicLocked(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// spendLocked takes n bytes from the token bucket unless this would use the reserve
// of the classes of higher priority. It reports whether it took them.
func (b *Budget) spendLocked(now time.Time, c Class, n int) bool {
	left := b.limiter.TokensAt(now) - float64(n)
	if left < float64(b.burst*reservedEighths[c]/8) || !b.limiter.AllowN(now, n) {
		return false
	}
	b.window.add(now, n)
	b.window.check(now, b.rate, b.burst)
	return true
}

// Charge counts n bytes in class c that were already sent. The bytes are taken from
// the token bucket even if its level becomes negative, so that the rate holds over
// time.
func (b *Budget) Charge(c Class, n int) { b.ChargeAt(time.Now(), c, n) }

// ChargeAt is like Charge, with now as the current time.
func (b *Budget) ChargeAt(now time.Time, c Class, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.monotonicLocked(now)
	b.countSentLocked(c, n)
	switch {
	case c >= numBudgeted:
		return
	case c == Lease:
		takeTokens(b.leaseLimiter, now, n)
	case c == Announce:
		n = b.limitAnnounceLocked(now, n)
	}
	b.window.add(now, n)
	takeTokens(b.limiter, now, n)
}

// limitAnnounceLocked returns the part of n that replies to targets may take
// from the budget, and counts the rest as excess. Targets decide how often they
// announce themselves. Without this limit, the replies could use up the bytes that
// the router needs to communicate with the other routers.
func (b *Budget) limitAnnounceLocked(now time.Time, n int) int {
	fits := min(n, max(0, int(b.announceLimiter.TokensAt(now))))
	takeTokens(b.announceLimiter, now, fits)
	b.stats.Excess += int64(n - fits)
	b.excess.Inc(int64(n - fits))
	return fits
}

// takeTokens takes n tokens from l, even if the level of l becomes negative. It takes
// them in parts of at most the burst, since a rate.Limiter rejects larger ones.
func takeTokens(l *rate.Limiter, now time.Time, n int) {
	for n > 0 {
		part := min(n, l.Burst())
		l.ReserveN(now, part)
		n -= part
	}
}

// Ready reports whether a call of n bytes may be sent now. Only lease requests can
// be held back. Ready takes no bytes from the budget: Sent charges them.
func (b *Budget) Ready(method string, n int) bool {
	if ClassOf(method) != Lease {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.monotonicLocked(time.Now())
	if b.leaseLimiter.TokensAt(now) >= float64(n) {
		return true
	}
	b.stats.Refused[Lease] += int64(n)
	b.refused[Lease].Inc(int64(n))
	return false
}

func (b *Budget) countSentLocked(c Class, n int) {
	b.stats.Sent[c] += int64(n)
	b.sent[c].Inc(int64(n))
}

// CountReceived counts n bytes received in class c.
func (b *Budget) CountReceived(c Class, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Received[c] += int64(n)
	b.received[c].Inc(int64(n))
}

// Stats returns a copy of the counts.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Sent charges the bytes of a call that was sent.
func (b *Budget) Sent(method string, n int) { b.Charge(ClassOf(method), n) }

// Received counts the bytes of the reply to a call.
func (b *Budget) Received(method string, n int) { b.CountReceived(ClassOf(method), n) }

// ServerMeter returns a meter for the calls that this process serves. The meter
// counts lease requests of other routers in class Replica.
func (b *Budget) ServerMeter() *ServerMeter { return &ServerMeter{budget: b} }

// ServerMeter counts the calls that a process serves. It implements
// transport.Meter.
type ServerMeter struct{ budget *Budget }

// Sent charges the bytes of a reply.
func (s *ServerMeter) Sent(method string, n int) { s.budget.Charge(serverClass(method), n) }

// Received counts the bytes of a received call.
func (s *ServerMeter) Received(method string, n int) { s.budget.CountReceived(serverClass(method), n) }

func serverClass(method string) Class {
	if c := ClassOf(method); c != Lease {
		return c
	}
	return Replica
}

// methodLease is the only control call that a router makes for itself. The other
// control calls are made on behalf of callers, for example claims, or of operators.
const methodLease = "control.lease"

// ClassOf returns the class of a method's calls. Except for lease requests, the
// prefix of the method name selects it.
func ClassOf(method string) Class {
	if method == methodLease {
		return Lease
	}
	prefix, _, _ := strings.Cut(method, ".")
	switch prefix {
	case "control":
		return Request
	case "raft", "routing":
		return Replica
	case "schedule", "limits", "ledger", "forward":
		return Request
	case "report":
		return Report
	case "hint":
		return Hint
	default:
		return Liveness
	}
}
