// Package testkit provides helpers for the tests of several packages. Nothing
// outside tests uses it.
package testkit

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// eventuallyTimeout is long, since only a failing test waits for its end.
	eventuallyTimeout  = 30 * time.Second
	eventuallyInterval = 10 * time.Millisecond
)

// Eventually polls a condition until it is met, and fails the test if it is not met
// within 30 s. The failure message describes the condition by the text what.
func Eventually(t testing.TB, what string, met func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !met() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(eventuallyInterval)
	}
}

// CountingDialer counts the bytes sent and received over the connections that it
// opens.
type CountingDialer struct {
	net.Dialer
	bytes atomic.Int64
}

// Bytes returns the number of bytes sent and received so far over all connections.
func (d *CountingDialer) Bytes() int64 { return d.bytes.Load() }

// DialContext opens a connection and counts its bytes.
func (d *CountingDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &d.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// largeTableRoutes is the number of routes of a large routing table.
const largeTableRoutes = 1280

// LargeTable returns the text of a large routing table. Each version above 0 differs
// from version 0 in the timeout of one route.
func LargeTable(version int) []byte {
	var text []byte
	for i := range largeTableRoutes {
		timeout := 1000
		if i == version%largeTableRoutes {
			timeout += version
		}
		text = fmt.Appendf(text, `{"name":"r-%d","host":"h%d.example","pathPrefix":"/p%d/","timeoutMs":%d},`, i, i%3, i*7919, timeout)
	}
	return text
}
