package balance

const (
	// fullLoad is the load, as requests in flight for each place, from which new
	// requests are turned away: all places are taken and some requests wait.
	fullLoad = 1.3
	// refusalGain is by how much the refused share grows with the load. The load
	// is known up to half a second late; a higher gain would swing.
	refusalGain = 0.08
	// maxRefusal bounds the refused share.
	maxRefusal = 0.4
)

// refusedShare returns the share of new requests to turn away at once while
// inFlight requests are at targets with so many places. It answers short requests
// that come faster than the targets work: without it their queues fill up, and
// most are answered after their objective instead of some being refused.
func refusedShare(inFlight, places int) float64 {
	if places <= 0 {
		return 0
	}
	load := float64(inFlight) / float64(places)
	return min(maxRefusal, max(0, refusalGain*(load-fullLoad)))
}

// overloaded tells whether a request without a prompt is to be turned away. Places
// of targets that are not sound don't count.
func overloaded(all []*candidate, draw func() float64) bool {
	inFlight, places := 0, 0
	for _, c := range all {
		if c.eligible() && c.sound && c.capacity < unboundedCapacity {
			inFlight += c.inFlight
			places += c.capacity
		}
	}
	share := refusedShare(inFlight, places)
	return share > 0 && draw() < share
}
