package intake

import (
	"net"
	"time"
)

// waiting is a connection that nobody serves yet.
type waiting struct {
	conn  net.Conn
	since time.Time
}

// queue holds the connections that wait, the newest last. The load pattern that it
// answers: more callers than can be served, each of which gives up after a fixed time
// and tries again. Served in the order of their arrival, or all side by side, none is
// answered in time. It has no clock and is not safe for concurrent use.
type queue struct {
	conns []waiting
	// maxWait is how long a connection may wait, and maxConns how many may.
	maxWait  time.Duration
	maxConns int
}

// push adds a connection and returns the one that has to leave for it, nil if there is
// room.
func (q *queue) push(now time.Time, conn net.Conn) (dropped net.Conn) {
	if len(q.conns) >= q.maxConns {
		dropped = q.conns[0].conn
		q.conns = q.conns[1:]
	}
	q.conns = append(q.conns, waiting{conn: conn, since: now})
	return dropped
}

// pop returns the newest connection, nil if none waits, and those that have waited so
// long that their callers have given up.
func (q *queue) pop(now time.Time) (newest net.Conn, stale []net.Conn) {
	for len(q.conns) > 0 && now.Sub(q.conns[0].since) > q.maxWait {
		stale = append(stale, q.conns[0].conn)
		q.conns = q.conns[1:]
	}
	last := len(q.conns) - 1
	if last < 0 {
		return nil, stale
	}
	newest = q.conns[last].conn
	q.conns = q.conns[:last]
	return newest, stale
}
