package router

import (
	"net"
	"sync"
)

// maxOverflowConns are the connections beyond the bound that are still accepted,
// to be told so.
const maxOverflowConns = 256

// limitListener bounds the open connections. Those beyond max are marked; at
// max plus overflowConns it stops accepting.
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

// Accept waits for a free slot, then for a connection.
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

func (l *limitListener) release() { <-l.slots }

// Close stops accepting.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn is an accepted connection.
type limitConn struct {
	net.Conn
	overLimit bool
	once      sync.Once
	release   func()
}

// Close closes the connection and frees its slot.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
