package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the minimum number of crashes for which a part is held. More are
	// required while many requests fail, see requiredCrashes.
	minCrashes = 3
	// answeredBeforeCrashes is the number of further crashes that are required if the
	// part was answered at some time before. It decides between a part that crashes
	// engines and one that only occurs together with it.
	answeredBeforeCrashes = 2
	// suspectCrashes is the number of crashes from which on a request with the part is
	// not repeated at another engine.
	suspectCrashes = 2
	// answerGrace is the time after an answer for which crashes are no evidence. It
	// spares the routers updates on the parts that most requests have.
	answerGrace = 2 * time.Second
	// causeMargin is the number of crashes by which the evidence against one part must
	// exceed that against another part of the same prompt to explain the next crash.
	causeMargin = 2
	// otherCrashesPerCrash is the number of engines that end under requests without the
	// part for which one more crash is required: engines that end anyway weaken the
	// evidence against each part.
	otherCrashesPerCrash = 4
	// settleTime is the minimum time from the first crash that counts to the decision,
	// in which answers at other routers can refute the evidence.
	settleTime = 800 * time.Millisecond
	// firstHold is the duration of the first hold on a part. It doubles with each probe
	// that crashes an engine, up to maxHold.
	firstHold = 30 * time.Second
	maxHold   = 30 * time.Minute
	// probeInterval is the time that each router leaves to the routers ranked before it
	// to probe a part whose hold has expired, and the minimum time between two probes of
	// one router.
	probeInterval = 5 * time.Second
	// maxParts bounds the parts of one prompt that are examined.
	maxParts = 64
)

// Outcome is the result of a request at an engine.
type Outcome int

// Outcomes.
const (
	// Answered: the engine wrote an answer.
	Answered Outcome = iota
	// Interrupted: the engine closed the connection before it had written an answer.
	Interrupted
)

// Trial is the result of one request at one engine.
type Trial struct {
	// Parts are the ids of the prompt's parts that other requests may share.
	Parts []string
	// Target is the engine's fleet.TargetKey.
	Target  uint64
	Outcome Outcome
	// Sent is when the request was sent to the engine.
	Sent time.Time
}

// Detector decides which parts of prompts are held. It is not safe for concurrent use.
// All times passed to it must come from one monotonic clock.
type Detector struct {
	self     string
	records  map[string]*record
	answered *recency
	baseline baseline
	events   []Event
	// digestFrom is the part after which the next digest starts.
	digestFrom string
}

// NewDetector returns a Detector of the router with the id self that holds no part.
func NewDetector(self string) *Detector {
	return &Detector{self: self, records: make(map[string]*record), answered: newRecency()}
}

// Observe records the result of a request.
func (d *Detector) Observe(now time.Time, t Trial) {
	parts := t.Parts[:min(len(t.Parts), maxParts)]
	if t.Outcome == Answered {
		d.baseline.add(now, false)
		for _, part := range parts {
			d.observeAnswer(now, part)
		}
		return
	}
	if !d.suspected(parts) {
		d.baseline.add(now, true)
	}
	for _, part := range d.likelyCauses(parts) {
		d.observeCrash(now, part, crash{target: t.Target, sent: t.Sent, at: now})
	}
}

// likelyCauses returns the parts that may have caused a crash: those with nearly as much
// evidence as the one with the most, and only held ones if there are any. Without this,
// frequent crashes by one part become evidence against all parts in the same prompts.
func (d *Detector) likelyCauses(parts []string) []string {
	if held := d.heldAmong(parts); len(held) > 0 {
		causes := make([]string, 0, len(held))
		for _, r := range held {
			causes = append(causes, r.part)
		}
		return causes
	}
	counts := make([]int, len(parts))
	holding := d.holding()
	for i, part := range parts {
		if r := d.records[partKey(part)]; r != nil {
			counts[i] = r.counted(explains(holding, r))
		}
	}
	var causes []string
	for i, part := range parts {
		if counts[i]+causeMargin > slices.Max(counts) {
			causes = append(causes, part)
		}
	}
	return causes
}

func (d *Detector) observeAnswer(now time.Time, part string) {
	key := partKey(part)
	d.answered.put(now, key)
	r := d.records[key]
	if r == nil {
		return
	}
	wasHeld, counted := r.held(), r.counted(nil)
	r.lastAnswered = now
	if wasHeld || counted > 0 {
		d.touch(now, r)
	}
	r.failureRate = 0
	if wasHeld && !r.held() {
		d.addEvent(now, LiftedByAnswer, r)
	}
}

func (d *Detector) observeCrash(now time.Time, part string, c crash) {
	key := partKey(part)
	answered := d.answered.get(key)
	r := d.records[key]
	if r != nil && r.lastAnswered.After(answered) {
		answered = r.lastAnswered
	}
	if !answered.IsZero() && now.Sub(answered) < answerGrace {
		return
	}
	if r == nil {
		r = d.addRecord(now, key)
	}
	r.lastAnswered = answered
	if r.addCrash(c) {
		d.touch(now, r)
		r.failureRate = max(r.failureRate, d.baseline.rate(now))
	}
	if r.held() && !now.Before(r.hold.until) {
		r.hold.strikes++
		r.hold.renewed = now
		r.hold.until = now.Add(holdTime(r.hold.strikes))
		d.touch(now, r)
		d.addEvent(now, Renewed, r)
	}
}

// holdTime returns the duration of a part's hold after the given number of decisions or
// failed probes in a row.
func holdTime(strikes uint32) time.Duration {
	const maxDoublings = 16
	return min(maxHold, firstHold<<min(max(strikes, 1)-1, maxDoublings))
}

// Tick holds the parts whose evidence suffices, and forgets what is out of date. It must be
// called several times a second.
func (d *Detector) Tick(now time.Time) {
	d.collectGarbage(now)
	var candidates []*record
	for _, r := range d.records {
		if !r.held() && len(r.crashes) >= minCrashes {
			candidates = append(candidates, r)
		}
	}
	// A part that was never answered is decided on first, because its hold may explain
	// the crashes of the others.
	slices.SortFunc(candidates, func(x, y *record) int {
		return cmp.Or(
			compareBool(!x.lastAnswered.IsZero(), !y.lastAnswered.IsZero()),
			cmp.Compare(len(y.crashes), len(x.crashes)),
			cmp.Compare(x.part, y.part),
		)
	})
	rate := d.baseline.rate(now)
	held := d.holding()
	for _, r := range candidates {
		if !d.suffices(now, r, rate, held) {
			continue
		}
		held = append(held, r)
		r.hold = hold{since: now, renewed: now, until: now.Add(holdTime(1)), strikes: 1, by: d.self}
		d.touch(now, r)
		d.addEvent(now, Held, r)
	}
}

// suffices reports whether the evidence against r suffices to hold it, given the failure
// rate of requests and the held parts.
func (d *Detector) suffices(now time.Time, r *record, rate float64, held []*record) bool {
	explained := explains(held, r)
	counted, first := r.counted(explained), r.firstCounted(explained)
	required := requiredCrashes(max(rate, r.failureRate), !r.lastAnswered.IsZero())
	if counted < required || now.Sub(first) < settleTime {
		return false
	}
	if len(r.crashes) == maxCrashes {
		// The crashes of a frequent part that are no longer kept are not those of others.
		return true
	}
	return counted >= required+d.otherCrashes(r, first, explained)/otherCrashesPerCrash
}

// otherCrashes returns the number of engines that ended since a time under requests without
// r's part, and that no held part explains.
func (d *Detector) otherCrashes(r *record, since time.Time, explained func(target uint64) bool) int {
	others := make(map[uint64]bool)
	for _, other := range d.records {
		if other == r || other.held() {
			continue
		}
		for _, c := range other.crashes {
			if !c.at.Before(since) && !explained(c.target) && !r.has(c.target) {
				others[c.target] = true
			}
		}
	}
	return len(others)
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// holding returns the records of the held parts.
func (d *Detector) holding() []*record {
	var held []*record
	for _, r := range d.records {
		if r.held() {
			held = append(held, r)
		}
	}
	return held
}

// explains returns a function that reports whether the end of a target is explained by a
// held part other than r's. Of two parts with equally many crashes, neither explains those
// of the other, because the evidence does not tell them apart.
func explains(held []*record, r *record) func(target uint64) bool {
	return func(target uint64) bool {
		return slices.ContainsFunc(held, func(other *record) bool {
			return other != r && len(other.crashes) > len(r.crashes) && other.has(target)
		})
	}
}

// suspected reports whether one of the parts is held or has suspectCrashes.
func (d *Detector) suspected(parts []string) bool {
	if len(d.records) == 0 {
		return false
	}
	holding := d.holding()
	return slices.ContainsFunc(parts, func(part string) bool {
		r := d.records[partKey(part)]
		return r != nil && (r.held() || r.counted(explains(holding, r)) >= suspectCrashes)
	})
}

// MayRepeat reports whether a request whose prompt has these parts may be sent to another
// engine after one has failed it.
func (d *Detector) MayRepeat(parts []string) bool {
	return !d.suspected(parts[:min(len(parts), maxParts)])
}

func (d *Detector) heldAmong(parts []string) []*record {
	if len(d.records) == 0 {
		return nil
	}
	var held []*record
	for _, part := range parts {
		if r := d.records[partKey(part)]; r != nil && r.held() {
			held = append(held, r)
		}
	}
	return held
}

// Admit decides on a request whose prompt has these parts. It returns nil if the request
// may be sent, and the hold on one of its parts otherwise. After a hold has expired, Admit
// lets single requests through as probes. rank returns the place of this router in the
// order in which the routers probe a part.
func (d *Detector) Admit(now time.Time, parts []string, rank func(part string) int) *Hold {
	var due []*record
	for _, r := range d.heldAmong(parts) {
		if now.Before(r.hold.until) || now.Before(r.nextProbe) ||
			now.Before(r.hold.until.Add(time.Duration(rank(r.part))*probeInterval)) {
			return r.describe(now)
		}
		due = append(due, r)
	}
	for _, r := range due {
		r.nextProbe = now.Add(probeInterval)
		d.addEvent(now, Probed, r)
	}
	return nil
}

// Lift ends the hold on a part and discards the evidence against it, at all routers once
// they have received the update. It reports whether the part was held.
func (d *Detector) Lift(now time.Time, part string) bool {
	r := d.records[partKey(part)]
	if r == nil || !r.held() {
		return false
	}
	r.liftedAt = now
	d.touch(now, r)
	d.addEvent(now, LiftedByOperator, r)
	return true
}

// Holds returns the holds in force, by part.
func (d *Detector) Holds(now time.Time) []*Hold {
	var holds []*Hold
	for _, r := range d.records {
		if r.held() {
			holds = append(holds, r.describe(now))
		}
	}
	slices.SortFunc(holds, func(x, y *Hold) int { return cmp.Compare(x.Part, y.Part) })
	return holds
}

// Suspects returns the number of parts that are not held but have crashes that count.
func (d *Detector) Suspects() int {
	n := 0
	for _, r := range d.records {
		if !r.held() && r.counted(nil) > 0 {
			n++
		}
	}
	return n
}
