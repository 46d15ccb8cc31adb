package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
)

const (
	// suspectCrashes is the number of crashes from which on a request with the part is
	// not repeated at another engine.
	suspectCrashes = 2
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
	// Parts are the ids of the prompt's parts that other requests may share, and the
	// request's own RequestKey, which may be absent from answered ones.
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
	// baseline is that of requests with shared parts of a prompt, plain that of others.
	baseline baseline
	plain    baseline
	// requests is the number of records of requests.
	requests int
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
	parts := examined(t.Parts)
	request := requestOf(parts)
	base := &d.baseline
	if len(parts) == 0 || len(parts) == 1 && request != "" {
		base = &d.plain
	}
	if t.Outcome == Answered {
		base.addAnswer(now)
		for _, part := range parts {
			d.observeAnswer(now, part)
		}
		return
	}
	if !d.suspected(parts) {
		base.addFailure(now, t.Target)
	}
	c := crash{target: t.Target, sent: t.Sent, at: now, request: fleet.Hash(request)}
	for _, part := range d.likelyCauses(parts) {
		d.observeCrash(now, part, c)
	}
}

func (d *Detector) observeAnswer(now time.Time, part string) {
	key := partKey(part)
	if !IsRequestKey(key) {
		d.answered.put(now, key)
	}
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
		d.raiseFailureRate(now, r)
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

// suspected reports whether one of the parts is held or has suspectCrashes.
func (d *Detector) suspected(parts []string) bool {
	if len(d.records) == 0 {
		return false
	}
	explaining := d.explaining()
	return slices.ContainsFunc(parts, func(part string) bool {
		r := d.records[partKey(part)]
		return r != nil && (r.held() || r.countedRepeats(explains(explaining, r)) >= suspectCrashes)
	})
}

// MayRepeat reports whether a request whose prompt has these parts may be sent to another
// engine after one has failed it.
func (d *Detector) MayRepeat(parts []string) bool {
	return !d.suspected(examined(parts))
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
