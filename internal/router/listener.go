package router

import (
	"errors"
	"net"
	"sync"
)

// maxOverflowConns is the number of connections beyond the limit that are still
// accepted, so that their requests get a refusal instead of no response.
const maxOverflowConns = 256

// limitListener limits the number of open connections. Connections beyond max
// are marked overLimit. At max plus maxOverflowConns connections, Accept blocks
// until one closes.
type limitListener struct {
	net.Listener
	max    int
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(ln net.Listener, max int) *limitListener {
	return &limitListener{
		Listener: ln,
		max:      max,
		slots:    make(chan struct{}, max+maxOverflowConns),
		closed:   make(chan struct{}),
	}
}

// Accept waits until fewer than max plus maxOverflowConns connections are open,
// then accepts the next one.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: c, overLimit: len(l.slots) > l.max, release: l.release}, nil
}

// release frees the slot of a closed connection.
func (l *limitListener) release() { <-l.slots }

// Close closes the listener and unblocks Accept.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn is a connection that counts towards the listener's limit until it
// is closed.
type limitConn struct {
	net.Conn
	overLimit bool
	once      sync.Once
	release   func()
}

// Close closes the connection and frees its slot of the limit.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// SetLinger sets how the connection closes, as net.TCPConn does.
func (c *limitConn) SetLinger(seconds int) error {
	conn, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.SetLinger(seconds)
}
