package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
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
		c := &targetConn{Conn: conn}
		c.head.start()
		return c, nil
	}
}

// errReset means that the connection is no longer open although it seems to have ended in order.
var errReset = errors.New("the connection was reset")

// Read reads from the connection. It returns io.EOF only if the target ended the connection in
// order: the system reports a reset once, and after a write has received that report, reads find
// an orderly end.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.head.scan(p[:n])
	if errors.Is(err, io.EOF) && !hasPeer(c.Conn) {
		return n, errReset
	}
	return n, err
}

// hasPeer reports whether a connection is open at least for writing. One that the other end has
// ended in order is, one that was reset is not. Connections that are not the system's count as
// open.
func hasPeer(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	var peerErr error
	err = raw.Control(func(fd uintptr) { _, peerErr = syscall.Getpeername(int(fd)) })
	return err == nil && !errors.Is(peerErr, syscall.ENOTCONN)
}
