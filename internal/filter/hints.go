package filter

import (
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Hints are what a target says of itself in an answer, apart from the answer.
type Hints struct {
	// Leaving tells that the target takes no new requests.
	Leaving bool
	// Pause is how long the target wants no requests from this router; zero for none.
	Pause time.Duration
}

// reportHints passes the hints of an answer on. One that came from another target at the
// chosen one's address says nothing of the chosen one.
func (d *dispatch) reportHints(target *pb.TargetStatus, a *Answer) {
	if a.Hints == (Hints{}) || a.Status == http.StatusMisdirectedRequest || d.OnHints == nil {
		return
	}
	d.OnHints(target, d.x.ID, a.Hints)
}
