package pool

// excessReports is the number of consecutive reports that must show an excess
// before the excess counts. Reports lag, so a single report may include requests
// that have ended since.
const excessReports = 5

// Report is one load report of a target.
type Report struct {
	Incarnation uint64
	// Sequence distinguishes the reports of one incarnation.
	Sequence uint64
	InFlight int
}

// Excess tracks the requests in flight that a target reports in addition to the
// slots that one owner granted. An excess lasts if a second router admits requests
// to the target at the same time, for example during a network partition. The
// zero value is ready for use.
type Excess struct {
	incarnation uint64
	sequence    uint64
	recent      [excessReports]int
	reports     int
}

// Add records a report that arrived while the owner had granted the given number
// of slots. Add ignores a report with the sequence number of the report before. A
// report of another incarnation discards all earlier reports.
func (e *Excess) Add(r Report, granted int) {
	if e.incarnation != r.Incarnation {
		*e = Excess{incarnation: r.Incarnation}
	} else if e.reports > 0 && e.sequence == r.Sequence {
		return
	}
	e.sequence = r.Sequence
	e.recent[e.reports%excessReports] = max(0, r.InFlight-granted)
	e.reports++
}

// Sustained returns the lowest excess of the last excessReports reports, or zero
// if there are fewer reports.
func (e *Excess) Sustained() int {
	if e.reports < excessReports {
		return 0
	}
	least := e.recent[0]
	for _, x := range e.recent[1:] {
		least = min(least, x)
	}
	return least
}
