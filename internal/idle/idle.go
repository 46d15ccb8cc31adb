// Package idle closes callers' connections that carry no request for too long.
// Unlike the timeouts of http.Server, those of this package may change while the
// server runs. The package does not limit the time of a running request.
package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts are the maximum times that a connection may wait for a request. Zero
// means no limit.
type Timeouts struct {
	// First is the timeout for the header of the first request on a new connection.
	First time.Duration
	// Next is the timeout for the header of the next request, counted from the end of
	// the previous answer.
	Next time.Duration
}

// Monitor closes the connections of a server that wait too long for a request.
type Monitor struct {
	timeouts func() Timeouts

	mu sync.Mutex
	// waits holds the connections that are waiting for a request.
	waits map[net.Conn]*wait
}

// wait is the time in which a connection waits for one request. The pointer to a
// wait identifies it, so that a timer which fires late does not end the next wait of
// the same connection.
type wait struct {
	timer *time.Timer
	// expired is set once the read deadline of the connection has ended the wait.
	expired bool
}

// recheckInterval is the time after which a connection whose wait has ended is ended again,
// if its state has not changed: the server may have set a deadline of its own meanwhile.
const recheckInterval = 100 * time.Millisecond

// endedAt is a read deadline in the past.
var endedAt = time.Unix(1, 0)

// NewMonitor creates a Monitor that calls timeouts at the start of each wait. The server must
// not have a ReadTimeout: a request that comes as its wait ends would lose that deadline.
func NewMonitor(timeouts func() Timeouts) *Monitor {
	return &Monitor{timeouts: timeouts, waits: make(map[net.Conn]*wait)}
}

// StateChanged starts or ends the wait of a connection whose state has changed. It is
// the callback for http.Server.ConnState.
func (m *Monitor) StateChanged(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		m.startTimer(c, m.timeouts().First)
	case http.StateIdle:
		m.startTimer(c, m.timeouts().Next)
	case http.StateActive, http.StateClosed, http.StateHijacked:
		m.cancelTimer(c)
	}
}

// startTimer starts a wait: it ends unless the connection's state changes within the timeout.
func (m *Monitor) startTimer(c net.Conn, timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopTimerLocked(c)
	if timeout <= 0 {
		return
	}
	next := &wait{}
	m.waits[c] = next
	next.timer = time.AfterFunc(timeout, func() { m.expire(c, next) })
}

// expire ends the server's wait for a request, so that it closes the connection. Only the
// reading ends: the server may just have read a request that it has not reported yet, and the
// answer to that needs the connection.
func (m *Monitor) expire(c net.Conn, ended *wait) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waits[c] != ended {
		return
	}
	ended.expired = true
	// The only error is that of a connection that is closed already.
	_ = c.SetReadDeadline(endedAt)
	ended.timer.Reset(recheckInterval)
}

// cancelTimer ends the connection's current wait, if there is one.
func (m *Monitor) cancelTimer(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopTimerLocked(c)
}

// stopTimerLocked ends the connection's current wait, if there is one. m.mu must be
// held.
func (m *Monitor) stopTimerLocked(c net.Conn) {
	if current := m.waits[c]; current != nil {
		current.timer.Stop()
		delete(m.waits, c)
		if current.expired {
			// The state changed, so there is a request, or the connection is closed.
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}
