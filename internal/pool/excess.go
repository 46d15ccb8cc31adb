package pool

// excessReports is the number of successive reports over which an excess must
// last to count. Reports lag, so that a single one also shows requests that
// have ended meanwhile.
const excessReports = 5

// Report is one load report of a target.
type Report struct {
	Incarnation uint64
	// Sequence tells reports of one incarnation apart.
	Sequence uint64
	InFlight int
}

// Excess is what a target reports beyond the places granted by one home. It
// lasts if a second home admits at the same time.
type Excess struct {
	incarnation uint64
	sequence    uint64
	recent      [excessReports]int
	reports     int
}

// Add takes a report that came while the home had granted so many places.
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

// Sustained is the least excess of the last reports.
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
