package routesync

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// replicaBytesPerSecond and routerBytesPerSecond bound the rate at which a
	// replica and a router send full tables. Each is below the bandwidth of the
	// narrowest links of its kind, so that one transfer completes before the next
	// begins.
	replicaBytesPerSecond = 256 << 10
	routerBytesPerSecond  = 768 << 10
	// maxReceivers bounds the instances recorded as receivers of the current table.
	maxReceivers = 16
	// maxFetchHops bounds the instances that one fetch tries in turn.
	maxFetchHops = 3
)

// transferLimiter limits the transfers of full tables to one at a time and
// redirects other requests to instances that received the table. It protects
// replicas at the start of a large fleet, when all routers request the table from a
// few replicas at once. If a replica served all requests concurrently, the transfers
// would share its link, and it would take long until any router had the table and
// could send it to others. Callers pass the current time. transferLimiter is not
// safe for concurrent use.
type transferLimiter struct {
	// busyUntil is the time at which the current transfer will be complete.
	busyUntil time.Time
	// receivers are the instances to which the current table was sent, the latest
	// last.
	receivers []receiver
}

// receiver is an instance, by its peer address, that has the table from
// availableFrom on.
type receiver struct {
	addr          string
	availableFrom time.Time
}

// reset removes the receivers of the previous table.
func (l *transferLimiter) reset() { l.receivers = nil }

// allow records the start of a transfer of this size and returns when the transfer
// will be complete at the given rate. ok is false, and nothing is recorded, while
// the previous transfer is running.
func (l *transferLimiter) allow(now time.Time, bytes, bytesPerSecond int) (completeAt time.Time, ok bool) {
	if now.Before(l.busyUntil) {
		return time.Time{}, false
	}
	l.busyUntil = now.Add(time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond))
	return l.busyUntil, true
}

// addReceiver records an instance to which the table was sent. It keeps the latest
// maxReceivers instances.
func (l *transferLimiter) addReceiver(r receiver) {
	isKnown := func(other receiver) bool { return other.addr == r.addr }
	if r.addr == "" || slices.ContainsFunc(l.receivers, isKnown) {
		return
	}
	l.receivers = append(l.receivers, r)
	if len(l.receivers) > maxReceivers {
		l.receivers = l.receivers[1:]
	}
}

// pickReceiver returns the address of a random receiver, other than the requester,
// that has the table at now, or "" if there is none. randN returns a random number
// from 0 up to, but not including, its argument.
func (l *transferLimiter) pickReceiver(now time.Time, requester string, randN func(int) int) string {
	candidates := slices.DeleteFunc(slices.Clone(l.receivers), func(r receiver) bool {
		return r.addr == requester || r.availableFrom.After(now)
	})
	if len(candidates) == 0 {
		return ""
	}
	return candidates[randN(len(candidates))].addr
}

// allowTransfer reports whether a table may be sent now, and when its transfer will
// be complete. Deltas and small tables are always allowed.
func (s *Sync) allowTransfer(t *pb.RoutingTable) (completeAt time.Time, ok bool) {
	now := time.Now()
	if len(t.Document) <= largeTableBytes {
		return now, true
	}
	rate := replicaBytesPerSecond
	if s.cfg.ServesCallers {
		rate = routerBytesPerSecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers.allow(now, len(t.Document), rate)
}

// recordReceiver records an instance to which this one sent the table, if the table
// is still the current one.
func (s *Sync) recordReceiver(number uint64, r receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == s.current.number {
		s.transfers.addReceiver(r)
	}
}

// pickReceiver returns the address of an instance, other than the requester, to
// which this one sent the current table, or "" if there is none.
func (s *Sync) pickReceiver(requester string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers.pickReceiver(time.Now(), requester, rand.IntN)
}
