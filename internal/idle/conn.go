package idle

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Listener returns a listener whose connections m can watch. It accepts no connection while
// maxConns are open; zero means no limit.
func (m *Monitor) Listener(ln *net.TCPListener, maxConns int) net.Listener {
	l := &listener{TCPListener: ln, monitor: m, closed: make(chan struct{})}
	if maxConns > 0 {
		l.slots = make(chan struct{}, maxConns)
	}
	return l
}

type listener struct {
	*net.TCPListener
	monitor *Monitor
	// slots holds an element for each open connection; it is nil without a limit.
	slots chan struct{}
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits for the next connection, and before that for a free slot.
func (l *listener) Accept() (net.Conn, error) {
	if l.slots != nil {
		select {
		case l.slots <- struct{}{}:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	c, err := l.AcceptTCP()
	if err != nil {
		l.release()
		return nil, err
	}
	return &conn{TCPConn: c, monitor: l.monitor, release: l.release}, nil
}

// release frees the slot of a closed connection.
func (l *listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// Close closes the listener and ends a wait for a slot.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// conn is a connection that is watched by a monitor.
type conn struct {
	*net.TCPConn
	monitor   *Monitor
	release   func()
	closeOnce sync.Once
}

// Close closes the connection and frees its slot.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.closeOnce.Do(c.release)
	return err
}

// Read reads from the connection. After the timeout it fails if nothing has arrived.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		switch {
		case n > 0:
			c.monitor.beginHeader(c)
		case errors.Is(err, os.ErrDeadlineExceeded) && c.monitor.expired(c) && c.unread():
			c.monitor.beginHeader(c)
			continue
		}
		return n, err
	}
}

// SetReadDeadline sets the deadline of reads, which has no effect after the timeout.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.monitor.mu.Lock()
	defer c.monitor.mu.Unlock()
	if current := c.monitor.waits[c]; current != nil && current.expired {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// setReadDeadline sets the deadline of reads, also after the timeout. An error is ignored: the
// connection is closed then.
func setReadDeadline(c net.Conn, t time.Time) {
	if watched, ok := c.(*conn); ok {
		c = watched.TCPConn
	}
	_ = c.SetReadDeadline(t)
}

// unread reports whether bytes have arrived that were not read yet.
func (c *conn) unread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return err == nil && arrived
}
