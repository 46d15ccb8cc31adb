package router

import (
	"net"
	"sync"
)

// overflowConns are the connections beyond the bound that are still accepted,
// to be told so.
const overflowConns = 256

// boundListener bounds the open connections. Those beyond max are marked; at
// max plus overflowConns it stops accepting.
type boundListener struct {
	net.Listener
	max    int
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newBoundListener(ln net.Listener, max int) *boundListener {
	return &boundListener{
		Listener: ln,
		max:      max,
		slots:    make(chan struct{}, max+overflowConns),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a free slot, then for a connection.
func (l *boundListener) Accept() (net.Conn, error) {
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
	return &boundConn{Conn: c, over: len(l.slots) > l.max, release: l.release}, nil
}

func (l *boundListener) release() { <-l.slots }

// Close stops accepting.
func (l *boundListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundConn is an accepted connection.
type boundConn struct {
	net.Conn
	over    bool
	once    sync.Once
	release func()
}

// Close closes the connection and frees its slot.
func (c *boundConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
