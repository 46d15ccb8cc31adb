package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// probeTimeout bounds the connection attempts that follow the end of a response without
	// framing. A sound target may be silent for one or two seconds.
	probeTimeout = 2500 * time.Millisecond
	// probeReset is how long a new connection must stay open: the system may have
	// accepted it for a process that was just ending.
	probeReset = 20 * time.Millisecond
	// crashSpread is the longest time between the ends of the connections of one crash, as
	// this process notices them.
	crashSpread = 250 * time.Millisecond
	// crashPoll is the time between two checks whether other responses have broken off.
	crashPoll = 10 * time.Millisecond
)

// errRefused means that the target has no listener any more.
var errRefused = errors.New("the connection ended and the target refuses others")

// othersBroke reports whether other responses from addr broke off within crashSpread before or
// after ended. It waits for those that may still do so.
func (c *Client) othersBroke(addr string, ended time.Time) bool {
	for {
		if c.breaks.since(addr, ended.Add(-crashSpread)) {
			return true
		}
		if time.Since(ended) > crashSpread {
			return false
		}
		time.Sleep(crashPoll)
	}
}

// probe opens a connection to the target and returns an error if the target has crashed. A
// target at its connection limit resets the connection, as does the system for a process that
// is just ending; only the latter refuses the next one. While the target is silent, probe
// tries again.
func (c *Client) probe(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resets := 0
	for {
		err := c.probeOnce(ctx, addr)
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			if resets++; resets > 1 {
				return nil
			}
		case !isTimeout(err) || ctx.Err() != nil:
			return err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *Client) probeOnce(ctx context.Context, addr string) error {
	conn, err := c.dial(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", errRefused, err)
	}
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
