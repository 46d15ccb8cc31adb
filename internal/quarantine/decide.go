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
	// causeMargin is the number of crashes by which the evidence against one part must
	// exceed that against another part of the same prompt to explain the next crash.
	causeMargin = 2
	// otherCrashesPerCrash is the number of engines that end under requests without the
	// part for which one more crash is required: engines that end anyway weaken the
	// evidence against each part.
	otherCrashesPerCrash = 4
	// maxRequestMargin bounds these further crashes for requests: with minCrashes, they
	// are more than the tries of a sound request by its router and its caller.
	maxRequestMargin = 2
	// settleTime is the minimum time from the first crash that counts to the decision,
	// in which answers at other routers can refute the evidence.
	settleTime = 800 * time.Millisecond
)

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
	held := d.explaining()
	for _, r := range candidates {
		if !d.suffices(now, r, held) {
			continue
		}
		held = append(held, r)
		r.hold = hold{since: now, renewed: now, until: now.Add(holdTime(1)), strikes: 1, by: d.self}
		d.touch(now, r)
		d.addEvent(now, Held, r)
	}
}

// suffices reports whether the evidence against r suffices to hold it, given the failure
// rate of other requests and the held parts.
func (d *Detector) suffices(now time.Time, r *record, held []*record) bool {
	explained := explains(held, r)
	counted, first := r.counted(explained), r.firstCounted(explained)
	rate := max(d.rate(now, r), r.failureRate)
	required := requiredCrashes(rate, !r.lastAnswered.IsZero())
	if counted < required || now.Sub(first) < settleTime {
		return false
	}
	if len(r.crashes) == maxCrashes {
		// The crashes of a frequent part that are no longer kept are not those of others.
		return true
	}
	margin := d.otherCrashes(r, first, explained) / otherCrashesPerCrash
	if r.isRequest() {
		margin = min(margin, maxRequestMargin)
	}
	return counted >= required+margin
}

// requestRateDecay is the factor by which a further crash lowers the failure rate that is
// remembered for a request: its callers give up a sound one after a few.
const requestRateDecay = 0.8

// raiseFailureRate remembers the present failure rate for a record with a new crash, if it is
// higher than before.
func (d *Detector) raiseFailureRate(now time.Time, r *record) {
	if r.isRequest() {
		r.failureRate *= requestRateDecay
	}
	r.failureRate = max(r.failureRate, d.rate(now, r))
}

// rate returns the failure rate of requests that the evidence against r is compared with.
func (d *Detector) rate(now time.Time, r *record) float64 {
	switch {
	case r.isPlainRequest():
		return d.plain.rateWithout(now, r.crashes)
	case r.isRequest():
		return d.baseline.rateWithout(now, r.crashes)
	default:
		return d.baseline.rate(now, len(r.crashes))
	}
}

// otherCrashes returns the number of engines that ended since a time under requests without
// r's part, and that no held part explains.
func (d *Detector) otherCrashes(r *record, since time.Time, explained func(c crash) bool) int {
	others := make(map[uint64]bool)
	for _, other := range d.records {
		if other == r || other.held() {
			continue
		}
		for _, c := range other.crashes {
			if !c.at.Before(since) && !explained(c) && !r.has(c.target) {
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

// explaining returns the records that may explain crashes under others: those of the held parts,
// and those whose hold an operator has lifted.
func (d *Detector) explaining() []*record {
	var records []*record
	for _, r := range d.records {
		if r.held() || r.lifted() {
			records = append(records, r)
		}
	}
	return records
}

// explains returns a function that reports whether a crash is explained by a held part or
// request other than r's. Of two with equally many crashes, neither explains those of the
// other, because the evidence does not tell them apart. A part explains those of a request
// however many it has: the hold on the part covers the request, if it has that part. A hold that
// an operator has lifted still explains the crashes before: else others, which had no part in
// them, would be held in its place.
func explains(held []*record, r *record) func(c crash) bool {
	return func(c crash) bool {
		return slices.ContainsFunc(held, func(other *record) bool {
			switch {
			case other == r, !other.held() && c.at.After(other.liftedAt):
				return false
			case r.isRequest() && !other.isRequest():
				return other.has(c.target) || other.mayHaveDropped(c)
			default:
				return len(other.crashes) > len(r.crashes) && other.has(c.target)
			}
		})
	}
}

// mayHaveDropped reports whether the crash may be one of those under the part that are no
// longer kept.
func (r *record) mayHaveDropped(c crash) bool {
	return len(r.crashes) == maxCrashes && c.at.Before(r.crashes[0].at)
}

// likelyCauses returns the parts that may have caused a crash: those with nearly as much
// evidence as the one with the most and the request itself, and only held ones if there are
// any. Without this, frequent crashes by one part become evidence against all parts in the
// same prompts.
func (d *Detector) likelyCauses(parts []string) []string {
	if held := d.heldAmong(parts); len(held) > 0 {
		causes := make([]string, 0, len(held))
		for _, r := range held {
			causes = append(causes, r.part)
		}
		return causes
	}
	counts := make([]int, len(parts))
	explaining := d.explaining()
	for i, part := range parts {
		if r := d.records[partKey(part)]; r != nil {
			counts[i] = r.counted(explains(explaining, r))
		}
	}
	var causes []string
	for i, part := range parts {
		if IsRequestKey(part) || counts[i]+causeMargin > slices.Max(counts) {
			causes = append(causes, part)
		}
	}
	return causes
}
