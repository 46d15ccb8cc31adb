package instance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxHeartbeatsPerSecond is the rate of heartbeats above which a replica directs targets to
// routers. A heartbeat costs 0.3 ms of CPU time, so this rate uses about 8% of a replica's
// CPU quota of 0.08 cores.
const maxHeartbeatsPerSecond = 20

// CountAndRedirectHeartbeat counts one heartbeat of a target in a data centre. If this
// instance is a replica without callers that receives more than maxHeartbeatsPerSecond, it
// returns a serving router, if there is one, to which the target may send its next
// heartbeats. Otherwise it returns nil.
//
// Thousands of targets know only the addresses of a few replicas, which have small CPU
// quotas. Routers therefore take over the heartbeats.
func (in *Routed) CountAndRedirectHeartbeat(dataCentre string) *pb.RouterStatus {
	if in.heartbeatRate.add(time.Now()) <= maxHeartbeatsPerSecond || in.cfg.CallerAddr != "" {
		return nil
	}
	return pickHeartbeatRouter(in.members.Routers(), dataCentre, rand.IntN)
}

// pickHeartbeatRouter returns a random serving router, preferably in the given data centre,
// or nil if no router is serving. intN returns a random number below its argument.
func pickHeartbeatRouter(routers []*pb.RouterStatus, dataCentre string, intN func(int) int) *pb.RouterStatus {
	return pickServingRouter(routers, func(r *pb.RouterStatus) bool { return r.DataCentre == dataCentre }, intN)
}

// rateMeter measures the rate of events in windows of one second.
type rateMeter struct {
	mu          sync.Mutex
	windowStart time.Time
	current     int
	previous    int
}

// add counts one event and returns the rate per second: the number of events in the last
// full window or in the current one, whichever is larger.
func (m *rateMeter) add(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch elapsed := now.Sub(m.windowStart); {
	case elapsed >= 2*time.Second:
		m.windowStart, m.previous, m.current = now, 0, 0
	case elapsed >= time.Second:
		m.windowStart, m.previous, m.current = m.windowStart.Add(time.Second), m.current, 0
	}
	m.current++
	return max(m.previous, m.current)
}
