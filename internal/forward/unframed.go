package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

const (
	// probeDialTimeout bounds the connection attempt that follows the end of a response
	// without framing.
	probeDialTimeout = 500 * time.Millisecond
	// probeReset is how long the new connection must stay open: the system may have
	// accepted it for a process that was just ending.
	probeReset = 20 * time.Millisecond
)

// confirmEnd returns an error if the target at addr no longer accepts connections. A
// response without framing ends when its connection closes, and a crash of the target
// closes the connection as well; a crashed target accepts no others.
func (c *Client) confirmEnd(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeDialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("the connection ended and the target accepts no other: %w", err)
	}
	defer conn.Close()
	if err := awaitReset(conn); err != nil {
		return fmt.Errorf("the connection ended and the target closes others: %w", err)
	}
	return nil
}

// awaitReset waits for probeReset and returns an error if the peer closes conn meanwhile.
func awaitReset(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(probeReset)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}
