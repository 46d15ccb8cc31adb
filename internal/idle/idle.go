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

// Monitor closes the connections of a server that wait too long for a request. Whether a
// connection is idle is decided where it is read: a request that has arrived when the timeout
// passes is served, however late a busy server reads it, and one that was read is never closed.
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
	// idle is set until bytes of the next request were read from a connection that has
	// carried one before.
	idle bool
	// expired is set once the timeout has passed. Reads that find nothing then fail.
	expired bool
}

// NewMonitor creates a Monitor that calls timeouts at the start of each wait.
func NewMonitor(timeouts func() Timeouts) *Monitor {
	return &Monitor{timeouts: timeouts, waits: make(map[net.Conn]*wait)}
}

// StateChanged starts or ends the wait of a connection whose state has changed. It is
// the callback for http.Server.ConnState, for a server whose listener is from Listener.
// On connections from elsewhere, a request that has arrived unread is lost when the timeout
// passes.
func (m *Monitor) StateChanged(c net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.startWait(c, m.timeouts().First, false)
	case http.StateIdle:
		m.startWait(c, m.timeouts().Next, true)
	case http.StateActive, http.StateClosed, http.StateHijacked:
		m.endWait(c)
	}
}

// startWait starts a wait: the connection is closed unless its state changes
// within the timeout. m.mu must be held.
func (m *Monitor) startWait(c net.Conn, timeout time.Duration, idle bool) {
	m.endWait(c)
	if timeout <= 0 {
		return
	}
	next := &wait{idle: idle}
	m.waits[c] = next
	next.timer = time.AfterFunc(timeout, func() { m.expire(c, next) })
}

// endWait ends the connection's current wait, if there is one. m.mu must be held.
func (m *Monitor) endWait(c net.Conn) {
	current := m.waits[c]
	if current == nil {
		return
	}
	current.timer.Stop()
	delete(m.waits, c)
	if current.expired {
		setReadDeadline(c, time.Time{})
	}
}

// expire makes the reads of the connection fail, if it is still in this wait, and so has the
// server close it.
func (m *Monitor) expire(c net.Conn, ended *wait) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waits[c] != ended {
		return
	}
	ended.expired = true
	setReadDeadline(c, past)
}

// expired reports whether the timeout of the connection's wait has passed.
func (m *Monitor) expired(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.waits[c]
	return current != nil && current.expired
}

// beginHeader is called when bytes have arrived on a connection. The first ones after an answer
// begin a header, which has its own timeout.
func (m *Monitor) beginHeader(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.waits[c]; current != nil && (current.idle || current.expired) {
		m.startWait(c, m.timeouts().First, false)
	}
}
