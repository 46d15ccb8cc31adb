// Package idle closes callers' connections that carry no request for too long.
// The bounds may change while a server runs, which those of http.Server may not.
package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts are the longest times that a connection may wait for a request; zero
// bounds nothing.
type Timeouts struct {
	// First is the wait for the first request's header on a new connection.
	First time.Duration
	// Next is the wait after an answer for the next request's header.
	Next time.Duration
}

// Monitor follows the connections of a server.
type Monitor struct {
	timeouts func() Timeouts

	mu    sync.Mutex
	waits map[net.Conn]*wait
}

// wait is one wait of a connection.
type wait struct{ timer *time.Timer }

// NewMonitor makes a Watch; bounds is asked at the start of each wait.
func NewMonitor(bounds func() Timeouts) *Monitor {
	return &Monitor{timeouts: bounds, waits: make(map[net.Conn]*wait)}
}

// StateChanged takes a change of a connection's state, as http.Server.ConnState.
func (w *Monitor) StateChanged(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		w.startTimer(c, w.timeouts().First)
	case http.StateIdle:
		w.startTimer(c, w.timeouts().Next)
	case http.StateActive, http.StateClosed, http.StateHijacked:
		w.cancelTimer(c)
	}
}

// startTimer closes the connection unless its state changes in time.
func (w *Monitor) startTimer(c net.Conn, bound time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimerLocked(c)
	if bound <= 0 {
		return
	}
	next := &wait{}
	w.waits[c] = next
	next.timer = time.AfterFunc(bound, func() { w.expire(c, next) })
}

// expire closes the connection if it is still in this wait.
func (w *Monitor) expire(c net.Conn, ended *wait) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waits[c] != ended {
		return
	}
	delete(w.waits, c)
	// The caller sees the end; there is nobody to report an error to.
	_ = c.Close()
}

func (w *Monitor) cancelTimer(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimerLocked(c)
}

// stopTimerLocked ends the present wait; w.mu is held.
func (w *Monitor) stopTimerLocked(c net.Conn) {
	if present := w.waits[c]; present != nil {
		present.timer.Stop()
		delete(w.waits, c)
	}
}
