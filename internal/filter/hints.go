package filter

import (
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

// Hints are the drain and backpressure signals that a target adds to a response.
// They are unrelated to cache hints.
type Hints struct {
	// Leaving is set if the target takes no new requests.
	Leaving bool
	// Pause is how long this router should send the target no requests; zero if it may
	// continue.
	Pause time.Duration
	// Limit is the rate limit that the target names. It says nothing if InvalidLimit, the
	// text that can't be read as a limit, is not empty.
	Limit        permits.Limit
	InvalidLimit string
	// Load is what the target reports of its load. It is empty if InvalidLoad, the text that
	// can't be read as a report, is not.
	Load        LoadReport
	InvalidLoad string
}

// LoadReport is a target's report of its load.
type LoadReport struct {
	// Reported is set if the answer has a report.
	Reported bool
	// Running, Waiting and Slots are numbers of requests.
	Running int
	Waiting int
	Slots   int
	// PacePercent is the time that work takes at the target now, in percent of the usual
	// time; zero if the target does not report it.
	PacePercent int
}

// reportHints passes the hints of an answer to OnHints, also if there are none, since a
// limit ends with the first answer that names none. It drops those of a 421
// response: another target answered at the selected target's address, so the hints
// don't concern the selected one.
func (d *dispatch) reportHints(target *pb.TargetStatus, a *Answer) {
	if a.Status == http.StatusMisdirectedRequest || d.OnHints == nil {
		return
	}
	d.OnHints(target, d.x.ID, a.Hints)
}
