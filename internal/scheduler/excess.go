package scheduler

import "github.com/wigeonwood/wigeonwood/internal/pool"

// reportsKept is the number of successive reports over which an excess must
// last to count. Reports lag, so that a single one also shows requests that
// have ended meanwhile.
const reportsKept = 3

// loadReport is one load report of a target.
type loadReport struct {
	incarnation uint64
	sequence    uint64
	inFlight    int
}

// excess is what a target reported beyond the places granted here, in its
// last reports. It lasts if a second home admits at the same time.
type excess struct {
	incarnation uint64
	sequence    uint64
	recent      [reportsKept]int
	reports     int
}

func (e *excess) add(r loadReport, granted int) {
	if e.incarnation != r.incarnation {
		*e = excess{incarnation: r.incarnation}
	} else if e.reports > 0 && e.sequence == r.sequence {
		return
	}
	e.sequence = r.sequence
	e.recent[e.reports%reportsKept] = max(0, r.inFlight-granted)
	e.reports++
}

func (e *excess) lasting() int {
	if e.reports < reportsKept {
		return 0
	}
	least := e.recent[0]
	for _, x := range e.recent[1:] {
		least = min(least, x)
	}
	return least
}

// addExternal sets the targets' external load from their reports, which are
// in the same order.
func (g *gate) addExternal(targets []pool.Target, reports []loadReport) {
	present := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		e, ok := g.excess[t.ID]
		if !ok {
			e = &excess{}
			g.excess[t.ID] = e
		}
		e.add(reports[i], g.pool.Granted(t.ID))
		t.External = e.lasting()
	}
	for id := range g.excess {
		if !present[id] {
			delete(g.excess, id)
		}
	}
}
