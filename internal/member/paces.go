package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxPaces limits the number of paces in one datagram.
	maxPaces = 64
	// maxPaceEntryBytes is the largest size of one target's entry. A percentage takes three
	// bytes at most, since larger ones are cut, and an age two.
	maxPaceEntryBytes = 9
	// paceListsBytes is the size of the tags and lengths of the three lists.
	paceListsBytes = 9
	// maxPacePercent and maxPaceAgeMs bound the percentages and ages (in ms) that are sent.
	maxPacePercent = 10000
	maxPaceAgeMs   = 10000
)

// MaxPaces returns the number of paces that may be sent with the counts of the given number of
// targets and the given number of limits. They are in the last datagram.
func MaxPaces(targets, limits int) int {
	last := targets % maxInFlightPerDatagram
	if last == 0 && targets > 0 {
		last = maxInFlightPerDatagram
	}
	room := maxMessageBytes - inFlightOverheadBytes - paceListsBytes - last*maxCountEntryBytes - limits*maxLimitEntryBytes
	return max(0, min(maxPaces, room/maxPaceEntryBytes))
}

// setPaces adds reports to the message, with their ages at now.
func setPaces(in *pb.InFlight, now time.Time, reports []cost.Report) {
	for _, r := range reports {
		in.PacedTargets = append(in.PacedTargets, r.Target)
		in.PacePercents = append(in.PacePercents, uint32(min(max(r.Percent, 0), maxPacePercent)))
		in.PaceAgesMs = append(in.PaceAgesMs, min(ageMs(now, r.At), maxPaceAgeMs))
	}
}

// paces returns the reports in a message that was received at now.
func paces(in *pb.InFlight, now time.Time) []cost.Report {
	var list []cost.Report
	for i, target := range in.GetPacedTargets() {
		list = append(list, cost.Report{
			Target:  target,
			Percent: int(in.PacePercents[i]),
			At:      now.Add(-milliseconds(in.PaceAgesMs[i])),
		})
	}
	return list
}

// validPaces reports whether the lists of paces have the same length.
func validPaces(in *pb.InFlight) bool {
	n := len(in.GetPacedTargets())
	return len(in.GetPacePercents()) == n && len(in.GetPaceAgesMs()) == n
}
