package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
)

const (
	// answerGrace is the time after an answer for which crashes are no evidence. It
	// spares the routers updates on the parts that most requests have.
	answerGrace = 2 * time.Second
	// maxCrashes bounds the crashes that are kept for one part.
	maxCrashes = 16
	// maxCrashesPerRequest is fewer than minCrashes, so that the crashes under a single
	// request never suffice against its parts.
	maxCrashesPerRequest = minCrashes - 1
	// maxRecords bounds the parts with evidence.
	maxRecords = 1024
	// maxPartBytes bounds the ids that are kept as they are. Longer ones, and those that
	// are not valid UTF-8 and so can't be sent, are replaced by their hash.
	maxPartBytes = 64
	// evidenceRetention is how long evidence against a part that is not held is kept
	// after its last change, holdRetention how long an expired hold is kept.
	evidenceRetention = 10 * time.Minute
	holdRetention     = 24 * time.Hour
)

// partKey returns the id under which a part is known.
func partKey(part string) string {
	if len(part) <= maxPartBytes && utf8.ValidString(part) {
		return part
	}
	return fmt.Sprintf("hash-%016x", fleet.Hash(part))
}

// crash is one engine that ended before it had answered a request.
type crash struct {
	target uint64
	sent   time.Time
	at     time.Time
	// request is the hash of the request's key, noRequest if it is unknown.
	request uint64
}

// noRequest is the hash of the key of a request that is unknown.
var noRequest = fleet.Hash("")

// hold is a decision to withhold the requests with a part. It is in force if strikes is
// above zero and record.held.
type hold struct {
	since time.Time
	// renewed is when the hold was last confirmed: at the decision or a failed probe.
	renewed time.Time
	until   time.Time
	// strikes counts the decision and the failed probes after it.
	strikes uint32
	// by is the router that decided.
	by string
}

// record is what a router knows about one part. Two records of a part merge by the union
// of their crashes and the latest of each time, so the order of updates does not matter.
type record struct {
	part string
	// crashes are in order of time, at most maxCrashes.
	crashes []crash
	// lastAnswered is the last answer known to this router; zero if none is.
	lastAnswered time.Time
	// liftedAt is when an operator last lifted a hold.
	liftedAt time.Time
	hold     hold
	// failureRate is the highest failure rate of requests while the evidence was
	// collected: crashes in a failure of many engines remain weak evidence after it.
	failureRate float64

	nextProbe time.Time
	changed   time.Time
	// sends is how many more times the record is sent to other routers.
	sends int
	// decided is set while the decision on the part is news that is to be sent. sentHeld and
	// sentRenewed are the decision that was news before.
	decided     bool
	sentHeld    bool
	sentRenewed time.Time
}

// held reports whether the hold is in force: neither an operator nor an answer has refuted
// it. An answer shortly before the decision refutes it as well, because the decision was
// made without knowing of it.
func (r *record) held() bool {
	return r.hold.strikes > 0 && r.hold.renewed.After(r.liftedAt) && r.hold.renewed.After(r.evidenceFrom())
}

// refuted reports whether the part was held and an operator or an answer has ended the hold.
func (r *record) refuted() bool { return r.hold.strikes > 0 && !r.held() }

// lifted reports whether the part was held and an operator has lifted the hold.
func (r *record) lifted() bool { return r.hold.strikes > 0 && !r.hold.renewed.After(r.liftedAt) }

// evidenceFrom returns the time after which crashes count.
func (r *record) evidenceFrom() time.Time {
	from := r.liftedAt
	if answered := r.lastAnswered; !answered.IsZero() && answered.Add(answerGrace).After(from) {
		from = answered.Add(answerGrace)
	}
	return from
}

// counted returns the number of crashes that are evidence against the part. explained, if
// not nil, reports whether another part explains the end of a target.
func (r *record) counted(explained func(c crash) bool) int {
	n := 0
	for range r.evidence(explained) {
		n++
	}
	return n
}

// countedRepeats is counted with all crashes by the same request.
func (r *record) countedRepeats(explained func(c crash) bool) int {
	n := 0
	for range r.crashesInTurn(explained) {
		n++
	}
	return n
}

// firstCounted returns the time of the first crash that counts, zero if none does.
func (r *record) firstCounted(explained func(c crash) bool) time.Time {
	for c := range r.evidence(explained) {
		return c.at
	}
	return time.Time{}
}

// evidence yields the crashes that count, in order of time. Against a part that was answered
// before, at most maxCrashesPerRequest by one request count: the request itself may crash
// engines.
func (r *record) evidence(explained func(c crash) bool) func(yield func(crash) bool) {
	return func(yield func(crash) bool) {
		byRequest := make(map[uint64]int)
		for c := range r.crashesInTurn(explained) {
			if !r.isRequest() && !r.lastAnswered.IsZero() && c.request != noRequest {
				byRequest[c.request]++
				if byRequest[c.request] > maxCrashesPerRequest {
					continue
				}
			}
			if !yield(c) {
				return
			}
		}
	}
}

// crashesInTurn yields the crashes after the last answer, in order of time. A crash counts
// only if its request was sent after the crash before it: a failure of many engines at once
// ends all requests in flight and is one crash.
func (r *record) crashesInTurn(explained func(c crash) bool) func(yield func(crash) bool) {
	return func(yield func(crash) bool) {
		from := r.evidenceFrom()
		var last time.Time
		for _, c := range r.crashes {
			if !c.at.After(from) || c.sent.Before(last) || explained != nil && explained(c) {
				continue
			}
			last = c.at
			if !yield(c) {
				return
			}
		}
	}
}

// has reports whether the target is among the crashes.
func (r *record) has(target uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.target == target })
}

// addCrash adds a crash unless it is known or older than maxCrashes others. It reports
// whether the crashes changed.
func (r *record) addCrash(c crash) bool {
	if r.has(c.target) || len(r.crashes) == maxCrashes && c.at.Before(r.crashes[0].at) {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.crashes, c, func(x, y crash) int { return x.at.Compare(y.at) })
	r.crashes = slices.Insert(r.crashes, i, c)
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return true
}

// Hold describes the hold on a part.
type Hold struct {
	Part string
	// Since is the time since the decision, Left the time until a request is let through
	// as a probe.
	Since time.Duration
	Left  time.Duration
	// By is the router that decided.
	By string
	// Strikes counts the decision and the failed probes after it.
	Strikes int
	// Crashes is the number of known engines that ended; at most maxCrashes are kept.
	Crashes int
	// LastCrash is the time since the last of them.
	LastCrash time.Duration
	// AnsweredBefore is set if a request with the part was answered at some time before.
	AnsweredBefore bool
}

// IsRequest reports whether a request is held, and not a part.
func (h *Hold) IsRequest() bool { return IsRequestKey(h.Part) }

// String describes the hold and its evidence in one line.
func (h *Hold) String() string {
	answered := "never answered"
	if h.AnsweredBefore {
		answered = "answered before these crashes only"
	}
	subject := "part " + h.Part
	if h.IsRequest() {
		subject = h.Part
	}
	return fmt.Sprintf("%s is held for %v by %s after %d engines ended under it, the last %v ago; %s; %d decisions",
		subject, h.Since.Round(time.Millisecond), h.By, h.Crashes, h.LastCrash.Round(time.Millisecond), answered, h.Strikes)
}

func (r *record) describe(now time.Time) *Hold {
	h := &Hold{
		Part:           r.part,
		Since:          now.Sub(r.hold.since),
		Left:           max(0, r.hold.until.Sub(now)),
		By:             r.hold.by,
		Strikes:        int(r.hold.strikes),
		Crashes:        len(r.crashes),
		AnsweredBefore: !r.lastAnswered.IsZero(),
	}
	if n := len(r.crashes); n > 0 {
		h.LastCrash = now.Sub(r.crashes[n-1].at)
	}
	return h
}

// addRecord adds an empty record. If the table is full, it replaces the one that changed
// least recently: of a request that met one crash, else one that is not held, if there is any.
func (d *Detector) addRecord(now time.Time, key string) *record {
	if len(d.records) >= maxRecords {
		var oldest *record
		for _, r := range d.records {
			if oldest == nil || cmp.Or(compareBool(r.held(), oldest.held()), compareBool(!r.isSingle(), !oldest.isSingle()), r.changed.Compare(oldest.changed)) < 0 {
				oldest = r
			}
		}
		d.removeRecord(oldest)
	}
	r := &record{part: key, lastAnswered: d.answered.get(key), changed: now}
	d.records[key] = r
	if r.isRequest() {
		d.requests++
	}
	return r
}

func (d *Detector) removeRecord(r *record) {
	delete(d.records, r.part)
	if r.isRequest() {
		d.requests--
	}
}

// collectGarbage removes records that no longer matter.
func (d *Detector) collectGarbage(now time.Time) {
	for _, r := range d.records {
		expired := now.Sub(r.changed) > evidenceRetention
		if r.held() {
			expired = now.Sub(r.hold.until) > holdRetention
		}
		if expired {
			d.removeRecord(r)
		}
	}
}
