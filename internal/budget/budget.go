// Package budget counts all control and probe bytes of a process and holds
// them under one rate, with priorities between kinds of traffic.
package budget

import (
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Class is a kind of traffic; a lower number has the higher priority.
type Class int

// Classes under the budget, most urgent first, then those counted apart.
const (
	// Lease is configuration leases and calls to the control replicas.
	Lease Class = iota
	// Drain is news that a target or router leaves.
	Drain
	// Liveness is probes, their answers and other membership news.
	Liveness
	// Load is load reports and renewals.
	Load
	// Hint is cache hints.
	Hint
	// Announce is answers to targets, which can't be refused.
	Announce
	// Replica is a control replica's own state traffic, outside the budget.
	Replica
	// Request is traffic on behalf of callers' requests, outside the budget.
	Request
	// Report is operators' questions to all routers, outside the budget.
	Report

	numClasses
	numBudgeted = Replica
)

var classNames = [numClasses]string{"lease", "drain", "liveness", "load", "hint", "announce", "replica", "request", "report"}

// String returns the class's name in metrics.
func (c Class) String() string { return classNames[c] }

const (
	// maxBytesPerWindow is what one process may spend in boundSeconds: 4 KB a second.
	maxBytesPerWindow  = 4096 * boundWindowSeconds
	boundWindowSeconds = 5
	// DefaultBurstBytes is what may be spent at once after a quiet time.
	DefaultBurstBytes = 4096
	// DefaultBytesPerSecond is the budget of one process. With a burst before it,
	// it fills the bound.
	DefaultBytesPerSecond = (maxBytesPerWindow - DefaultBurstBytes) / boundWindowSeconds
)

// reservedEighths is the share of the burst, in eighths, that a class leaves to the
// classes above it. Answers to targets are charged and never asked for: answerShare
// bounds them.
var reservedEighths = [numBudgeted]int{0, 0, 1, 2, 4, 4}

// leaseDivisor is the part of the rate and the burst that leases may take.
// Routers that look for a leader would otherwise fall silent to each other.
const leaseDivisor = 4

const (
	// announceDivisor is the part of the rate and the burst that answers to targets
	// take from the other classes.
	announceDivisor = 4
	// AnnounceReplyBytesPerSecond is what answers to targets take of the default rate: what
	// is beyond comes on top of it.
	AnnounceReplyBytesPerSecond = DefaultBytesPerSecond / announceDivisor
)

// Config sets up a budget; zero fields take the defaults.
type Config struct {
	BytesPerSecond int
	BurstBytes     int
	// Scope takes the metrics; nil drops them.
	Scope tally.Scope
}

// Budget is the one counter and limiter of a process. It implements
// transport.Meter.
type Budget struct {
	rate            int
	burst           int
	limiter         *rate.Limiter
	leaseLimiter    *rate.Limiter
	announceLimiter *rate.Limiter

	mu sync.Mutex
	// latest is the latest time that was passed in.
	latest time.Time
	window window
	stats  Stats

	sent     [numClasses]tally.Counter
	received [numClasses]tally.Counter
	refused  [numClasses]tally.Counter
	excess   tally.Counter
}

// Stats are the bytes counted since the start, by class.
type Stats struct {
	Sent     [numClasses]int64
	Received [numClasses]int64
	// Refused is what the budget did not let out.
	Refused [numClasses]int64
	// Excess is the part of the answers to targets that had no room.
	Excess int64
}

// ControlSent returns the bytes sent in all classes under the budget.
func (s Stats) ControlSent() int64 {
	sum := int64(0)
	for _, n := range s.Sent[:numBudgeted] {
		sum += n
	}
	return sum
}

// ControlReceived returns the bytes received in all classes under the budget.
func (s Stats) ControlReceived() int64 {
	sum := int64(0)
	for _, n := range s.Received[:numBudgeted] {
		sum += n
	}
	return sum
}

// New makes a budget whose bucket starts full.
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

// Rate returns the bytes that may be spent in a second.
func (b *Budget) Rate() int { return b.rate }

// Allow spends n bytes in class c now, or tells that the class must wait or
// drop. A class may use all that it need not leave to the classes above it.
func (b *Budget) Allow(c Class, n int) bool { return b.AllowAt(time.Now(), c, n) }

// AllowAt is Allow at a given time.
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

// monotonicLocked returns now or the latest time passed in before, whichever is later.
// Callers read the clock before it is their turn, and a limiter that is taken back in
// time counts the time between twice.
func (b *Budget) monotonicLocked(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

func (b *Budget) spendLocked(now time.Time, c Class, n int) bool {
	left := b.limiter.TokensAt(now) - float64(n)
	if left < float64(b.burst*reservedEighths[c]/8) || !b.limiter.AllowN(now, n) {
		return false
	}
	b.window.add(now, n)
	b.window.check(now, b.rate, b.burst)
	return true
}

// Charge counts n bytes in class c that were spent already. They are taken
// from what the classes may spend next, so that the rate holds over time.
func (b *Budget) Charge(c Class, n int) { b.ChargeAt(time.Now(), c, n) }

// ChargeAt is Charge at a given time.
func (b *Budget) ChargeAt(now time.Time, c Class, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.monotonicLocked(now)
	b.countSentLocked(c, n)
	switch {
	case c >= numBudgeted:
		return
	case c == Lease:
		reserve(b.leaseLimiter, now, n)
	case c == Announce:
		n = b.limitAnnounceLocked(now, n)
	}
	b.window.add(now, n)
	reserve(b.limiter, now, n)
}

// limitAnnounceLocked returns the part of n that the answers to targets may take.
// Targets decide how often they announce themselves; the answers must not silence
// the router among the others.
func (b *Budget) limitAnnounceLocked(now time.Time, n int) int {
	fits := min(n, max(0, int(b.announceLimiter.TokensAt(now))))
	reserve(b.announceLimiter, now, fits)
	b.stats.Excess += int64(n - fits)
	b.excess.Inc(int64(n - fits))
	return fits
}

// reserve takes n bytes, also ones that are not there yet.
func reserve(l *rate.Limiter, now time.Time, n int) {
	for n > 0 {
		part := min(n, l.Burst())
		l.ReserveN(now, part)
		n -= part
	}
}

// Ready tells whether a call of n bytes may be sent now. It spends nothing;
// Sent does.
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

// Stats returns the counts so far.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Sent charges the bytes of a call that was sent.
func (b *Budget) Sent(method string, n int) { b.Charge(ClassOf(method), n) }

// Received counts the bytes of a call's answer.
func (b *Budget) Received(method string, n int) { b.CountReceived(ClassOf(method), n) }

// ServerMeter returns a meter for the calls that this process answers. Answers to
// other routers' lease requests are a control replica's traffic.
func (b *Budget) ServerMeter() *ServerMeter { return &ServerMeter{budget: b} }

// ServerMeter counts the calls that a process answers. It implements
// transport.Meter.
type ServerMeter struct{ budget *Budget }

// Sent charges the bytes of an answer.
func (s *ServerMeter) Sent(method string, n int) { s.budget.Charge(serverClass(method), n) }

// Received counts the bytes of a call.
func (s *ServerMeter) Received(method string, n int) { s.budget.CountReceived(serverClass(method), n) }

func serverClass(method string) Class {
	if c := ClassOf(method); c != Lease {
		return c
	}
	return Replica
}

// methodLease is the one control call that a router makes for itself. The
// others act for callers, as claims do, or for operators.
const methodLease = "control.lease"

// ClassOf returns the class of a call's method, by its prefix.
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
