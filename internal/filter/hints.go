package filter

import (
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Hints are the drain and backpressure signals that a target adds to a response.
// They are unrelated to cache hints.
type Hints struct {
	// Leaving is set if the target takes no new requests.
	Leaving bool
	// Pause is how long this router should send the target no requests; zero if it may
	// continue.
	Pause time.Duration
}

// reportHints passes the hints of an answer to OnHints. It drops those of a 421
// response: another target answered at the selected target's address, so the hints
// don't concern the selected one.
func (d *dispatch) reportHints(target *pb.TargetStatus, a *Answer) {
	if a.Hints == (Hints{}) || a.Status == http.StatusMisdirectedRequest || d.OnHints == nil {
		return
	}
	d.OnHints(target, d.x.ID, a.Hints)
}
