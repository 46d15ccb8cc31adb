package routesync

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// replicaBytesPerSecond and routerHandout are the bytes a second that a replica and a
	// router send as whole tables: less than the narrowest links of each bear, so that
	// one table is through before the next.
	replicaBytesPerSecond = 256 << 10
	routerBytesPerSecond  = 768 << 10
	// maxReceivers is the number of instances that are remembered as having been
	// handed the present table.
	maxReceivers = 16
	// maxFetchHops is the number of instances that are asked in turn for one table.
	maxFetchHops = 3
)

// transferLimiter decides whether one more whole table may be sent now, and whom to ask
// instead. It answers the start of a large fleet: all routers ask a few replicas for
// a table, whose links would share it among all of them, so that none has it soon and
// can pass it on. It has no clock and is not safe for concurrent use.
type transferLimiter struct {
	// busyUntil is when the tables sent so far are through.
	busyUntil time.Time
	// receivers were handed the present table, the newest last.
	receivers []receiver
}

// receiver is the peer address of an instance that has a table from a time on.
type receiver struct {
	addr          string
	availableFrom time.Time
}

// reset forgets who was handed the table before.
func (h *transferLimiter) reset() { h.receivers = nil }

// allow counts a table of so many bytes and returns when it is through; false if the
// one before is not through yet.
func (h *transferLimiter) allow(now time.Time, bytes, bytesPerSecond int) (through time.Time, ok bool) {
	if now.Before(h.busyUntil) {
		return time.Time{}, false
	}
	h.busyUntil = now.Add(time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond))
	return h.busyUntil, true
}

// addReceiver remembers an instance that was handed the table.
func (h *transferLimiter) addReceiver(r receiver) {
	known := func(other receiver) bool { return other.addr == r.addr }
	if r.addr == "" || slices.ContainsFunc(h.receivers, known) {
		return
	}
	h.receivers = append(h.receivers, r)
	if len(h.receivers) > maxReceivers {
		h.receivers = h.receivers[1:]
	}
}

// pickReceiver returns the address of a receiver that has the table at now and is not the
// asker; empty without one. draw returns a number below its argument.
func (h *transferLimiter) pickReceiver(now time.Time, asker string, draw func(int) int) string {
	others := slices.DeleteFunc(slices.Clone(h.receivers), func(r receiver) bool {
		return r.addr == asker || r.availableFrom.After(now)
	})
	if len(others) == 0 {
		return ""
	}
	return others[draw(len(others))].addr
}

// allowTransfer tells whether a table may be sent now, and when it is through. Differences
// and small tables always may.
func (s *Sync) allowTransfer(t *pb.RoutingTable) (through time.Time, ok bool) {
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

// recordReceiver remembers who has a table from here, if it is the present one.
func (s *Sync) recordReceiver(number uint64, r receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == s.current.number {
		s.transfers.addReceiver(r)
	}
}

// pickReceiver returns the address of another instance that has the present table
// from here.
func (s *Sync) pickReceiver(asker string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers.pickReceiver(time.Now(), asker, rand.IntN)
}
