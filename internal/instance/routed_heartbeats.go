package instance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxHeartbeatsPerSecond is the number of heartbeats a second that a replica answers before
// it sends targets to routers: at 0.3 ms each, some 8% of a processor of 0.08 cores.
const maxHeartbeatsPerSecond = 20

// HeartbeatRouter counts one heartbeat of a target in a data centre. If this replica
// answers more than maxHeartbeats a second, it returns a router to which the target
// may send its later ones; otherwise nil.
func (in *Routed) HeartbeatRouter(dataCentre string) *pb.RouterStatus {
	if in.heartbeatRate.add(time.Now()) <= maxHeartbeatsPerSecond || in.cfg.CallerAddr != "" {
		return nil
	}
	return pickHeartbeatRouter(in.members.Routers(), dataCentre, rand.IntN)
}

// pickHeartbeatRouter returns one of the routers that serve callers, one of the data
// centre if there are any; nil without routers. draw returns a number below its
// argument. It answers thousands of targets that find a few small replicas.
func pickHeartbeatRouter(routers []*pb.RouterStatus, dataCentre string, draw func(int) int) *pb.RouterStatus {
	return pickServingRouter(routers, func(r *pb.RouterStatus) bool { return r.DataCentre == dataCentre }, draw)
}

// rateMeter counts events by the second.
type rateMeter struct {
	mu          sync.Mutex
	windowStart time.Time
	current     int
	previous    int
}

// add takes one event and returns the rate a second: that of the last whole second
// or the events of the present one, whichever is more.
func (m *rateMeter) add(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch past := now.Sub(m.windowStart); {
	case past >= 2*time.Second:
		m.windowStart, m.previous, m.current = now, 0, 0
	case past >= time.Second:
		m.windowStart, m.previous, m.current = m.windowStart.Add(time.Second), m.current, 0
	}
	m.current++
	return max(m.previous, m.current)
}
