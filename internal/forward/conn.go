package forward

import (
	"context"
	"net"
	"net/http/httptrace"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// targetConn is a connection to a target. It notices in the target's bytes what net/http hides.
type targetConn struct {
	net.Conn
	head headScanner
}

// dialTarget returns a dialFunc whose connections are those of dial as targetConns.
func dialTarget(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &targetConn{Conn: conn}, nil
	}
}

// Read reads from the connection.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.head.scan(p[:n])
	return n, err
}

// usedConn is the connection that the Transport uses for a request.
type usedConn struct {
	// conn is nil until there is a connection.
	conn *targetConn
	// connected is set once there is a connection, reused if it has carried a request before.
	connected bool
	reused    bool
}

// set records the connection, before any byte of the request is sent.
func (u *usedConn) set(info httptrace.GotConnInfo) {
	u.connected = true
	u.reused = info.Reused
	if conn, ok := info.Conn.(*targetConn); ok {
		u.conn = conn
		conn.head.start()
	}
}

// headErr returns an error that wraps ErrProtocol if the head of the response was broken.
func (u *usedConn) headErr() error {
	if u.conn == nil {
		return nil
	}
	return u.conn.head.err()
}
