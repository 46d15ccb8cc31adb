package cost

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// UsualPercent is the report of a target that takes the usual time for its work.
	UsualPercent = 100
	// paceDecay is the time in which the weight of a report falls to 1/e. Targets change
	// their pace several times per second, and a report reaches other routers after about
	// 0.3 s.
	paceDecay = 500 * time.Millisecond
	// maxReportAge is the age from which on a report has no effect.
	maxReportAge = 2 * time.Second
	// paceMemory is how long the usual pace of a target is kept after its last report.
	paceMemory = time.Minute
	// usualMemory is the time that the usual pace of a target covers, and reportHold the time
	// for which a report counts in it if none follows. Usual reports are sent to other routers
	// only at the end of an unusual pace, so the time without reports counts as usual.
	usualMemory = 10 * time.Second
	reportHold  = 300 * time.Millisecond
	// checkWeight is the weight of the latest observation in the pace that this router
	// observed itself, minChecks the number from which on it bounds the learned usual pace,
	// and checkTolerance the factor by which the two may differ.
	checkWeight    = 0.1
	minChecks      = 5
	checkTolerance = 1.25
	// spreadDifference is the difference from the usual pace from which on a report is sent
	// to other routers, in percent.
	spreadDifference = 20
	// maxPaceTargets bounds the targets that are kept.
	maxPaceTargets = 20000
)

// Report is what a target has reported of its pace.
type Report struct {
	// Target is the load key of one incarnation of the target.
	Target uint32
	// Percent is the time that work takes there, in percent of the usual time.
	Percent int
	At      time.Time
}

// differs reports whether other routers should know the report.
func (r Report) differs() bool {
	return r.Percent >= UsualPercent+spreadDifference || r.Percent <= UsualPercent-spreadDifference
}

// Paces holds the paces of targets. The zero value holds none.
type Paces struct {
	targets map[uint32]*pace
	latest  time.Time
}

type pace struct {
	report Report
	// usual is the moving average of the reported pace over usualMemory.
	usual float64
	// observed is the moving average of the ratio of observed to expected times, and checks
	// the number of observations.
	observed float64
	checks   int
	// toSend is set until this router has sent the report to the collectors, and toSpread
	// until it has sent it to all routers as a collector.
	toSend   bool
	toSpread bool
}

// Observe records a report from a response that this router received. It reports whether the pace
// has changed between usual and unusual.
func (p *Paces) Observe(r Report) (changed bool) {
	t, wasUnusual := p.learn(r)
	if t == nil {
		return false
	}
	// The end of an unusual pace is sent too, so that the collectors stop spreading it.
	t.toSend = t.toSend || r.differs() || wasUnusual
	return r.differs() != wasUnusual
}

// Learn records a report that another router has sent.
func (p *Paces) Learn(now time.Time, r Report) {
	if now.Sub(r.At) < maxReportAge {
		p.learn(r)
	}
}

// learn records a report unless a later one is known. It returns the state of the target, nil if
// the report was not recorded, and whether the report before differed from the usual.
func (p *Paces) learn(r Report) (t *pace, wasUnusual bool) {
	t = p.targets[r.Target]
	switch {
	case r.Percent <= 0:
		return nil, false
	case t == nil && len(p.targets) >= maxPaceTargets:
		return nil, false
	case t == nil:
		if p.targets == nil {
			p.targets = make(map[uint32]*pace)
		}
		t = &pace{usual: 1, observed: 1}
		p.targets[r.Target] = t
	case !r.At.After(t.report.At):
		return nil, false
	default:
		wasUnusual = t.report.differs()
		t.averageUntil(r.At)
	}
	t.report = r
	t.toSpread = r.differs() || t.toSpread || wasUnusual
	if r.At.After(p.latest) {
		p.latest = r.At
	}
	return t, wasUnusual
}

// averageUntil adds the time since the last report to the usual pace.
func (t *pace) averageUntil(at time.Time) {
	passed := at.Sub(t.report.At)
	held := float64(min(passed, reportHold)) / float64(passed)
	mean := held*t.reported() + (1 - held)
	t.usual += (1 - math.Exp(-float64(passed)/float64(usualMemory))) * (mean - t.usual)
}

// reported returns the pace of the last report.
func (t *pace) reported() float64 { return clampPace(float64(t.report.Percent) / UsualPercent) }

// Check records how an observed time compares to the expected one at usual pace. It bounds
// the effect of a target that reports a false pace all the time.
func (p *Paces) Check(target uint32, ratio float64) {
	if t := p.targets[target]; t != nil {
		t.checks++
		t.observed += max(checkWeight, 1/float64(t.checks)) * (clampPace(ratio) - t.observed)
	}
}

// Active reports whether any target has reported its pace recently. Otherwise costs must not
// influence the selection.
func (p *Paces) Active(now time.Time) bool { return now.Sub(p.latest) < maxReportAge }

// Pace returns the expected pace of a target: its usual one, corrected by its last report with
// a weight that decreases with the report's age. It is 1 for a target without reports.
func (p *Paces) Pace(now time.Time, target uint32) float64 {
	t := p.targets[target]
	if t == nil {
		return 1
	}
	usual := t.usualPace()
	age := now.Sub(t.report.At)
	if age >= maxReportAge {
		return usual
	}
	weight := math.Exp(-float64(max(0, age)) / float64(paceDecay))
	return clampPace(usual + weight*(t.reported()-usual))
}

func (t *pace) usualPace() float64 {
	if t.checks < minChecks {
		return t.usual
	}
	return min(max(t.usual, t.observed/checkTolerance), t.observed*checkTolerance)
}

// Pending reports whether TakeSeen has reports to return.
func (p *Paces) Pending() bool {
	for _, t := range p.targets {
		if t.toSend {
			return true
		}
	}
	return false
}

// TakeSeen returns at most n reports that this router has received in responses since the last
// call, to be sent to the collectors.
func (p *Paces) TakeSeen(now time.Time, n int) []Report {
	return p.take(now, n, func(t *pace) *bool { return &t.toSend })
}

// TakeLearned returns at most n reports of unusual paces, or of the end of one, that this router
// has received or learned since the last call, for a collector to send to all routers.
func (p *Paces) TakeLearned(now time.Time, n int) []Report {
	return p.take(now, n, func(t *pace) *bool { return &t.toSpread })
}

// take returns the latest of the marked reports and removes all marks, since the next responses
// bring later reports.
func (p *Paces) take(now time.Time, n int, mark func(*pace) *bool) []Report {
	var list []Report
	for _, t := range p.targets {
		if m := mark(t); *m {
			*m = false
			if now.Sub(t.report.At) < maxReportAge {
				list = append(list, t.report)
			}
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(max(n, 0), len(list))]
}

// Unusual returns the number of targets whose last report is recent and differs from the usual.
func (p *Paces) Unusual(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if now.Sub(t.report.At) < maxReportAge && t.report.differs() {
			n++
		}
	}
	return n
}

// Sweep removes the targets without reports within paceMemory.
func (p *Paces) Sweep(now time.Time) {
	for key, t := range p.targets {
		if now.Sub(t.report.At) > paceMemory {
			delete(p.targets, key)
		}
	}
}
