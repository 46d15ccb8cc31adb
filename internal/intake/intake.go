// Package intake lets a small server under more load than it bears answer some callers
// in time, in place of all of them too late.
package intake

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxServed is the number of new connections that are served at once.
	maxServed = 32
	// maxWait is how long a new connection may wait: targets and operators give up
	// after a second.
	maxWait = 900 * time.Millisecond
	// maxWaiting bounds those that wait.
	maxWaiting = 1024
	// quietTime is how long a connection without a request counts as served.
	quietTime = 100 * time.Millisecond
)

// Listener hands out the newest of the connections that wait, as long as few are
// served. A connection counts from Accept to the end of its first request. It is safe
// for concurrent use.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// changed is signalled when a connection comes or one is no longer served, and
	// when the listener ends.
	changed *sync.Cond
	queue   queue
	served  map[net.Conn]*time.Timer
	// err is why no more connections come.
	err error
}

// New takes over a listener. A server must pass on its connections' states.
func New(l net.Listener) *Listener {
	in := &Listener{
		Listener: l,
		queue:    queue{maxWait: maxWait, maxConns: maxWaiting},
		served:   make(map[net.Conn]*time.Timer),
	}
	in.changed = sync.NewCond(&in.mu)
	go in.take()
	return in
}

// take queues connections until the listener ends.
func (l *Listener) take() {
	for {
		conn, err := l.Listener.Accept()
		l.mu.Lock()
		if err != nil {
			l.err = err
		} else if dropped := l.queue.push(time.Now(), conn); dropped != nil {
			dropped.Close()
		}
		l.changed.Broadcast()
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Accept returns the newest connection once fewer than maxServed are served.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if len(l.served) < maxServed {
			conn, stale := l.queue.pop(time.Now())
			for _, s := range stale {
				s.Close()
			}
			if conn != nil {
				l.served[conn] = time.AfterFunc(quietTime, func() { l.release(conn) })
				return conn, nil
			}
		}
		if l.err != nil {
			l.closeWaiting()
			return nil, l.err
		}
		l.changed.Wait()
	}
}

// closeWaiting ends the connections that nobody will serve.
func (l *Listener) closeWaiting() {
	for _, w := range l.queue.conns {
		w.conn.Close()
	}
	l.queue.conns = nil
}

// StateChanged follows a server's connections.
func (l *Listener) StateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		l.mu.Lock()
		if timer := l.served[conn]; timer != nil {
			// It counts until its request is answered.
			timer.Stop()
		}
		l.mu.Unlock()
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		l.release(conn)
	}
}

func (l *Listener) release(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer, ok := l.served[conn]; ok {
		timer.Stop()
		delete(l.served, conn)
		l.changed.Broadcast()
	}
}
