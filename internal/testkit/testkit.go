// Package testkit holds helpers that tests of several packages use.
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
	// eventuallyTimeout only ends a test that fails.
	eventuallyTimeout  = 30 * time.Second
	eventuallyInterval = 10 * time.Millisecond
)

// Eventually waits for a condition and fails the test if it is never met.
func Eventually(t testing.TB, what string, met func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !met() {
		if time.Now().After(deadline) {
			t.Fatalf("not seen in %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(eventuallyInterval)
	}
}

// CountingDialer counts the bytes, both ways, of the connections that it opens.
type CountingDialer struct {
	net.Dialer
	bytes atomic.Int64
}

// Bytes returns the bytes of all connections so far.
func (d *CountingDialer) Bytes() int64 { return d.bytes.Load() }

// DialContext opens a connection whose bytes are counted.
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

// LargeTable returns the text of a large routing table, of which each version
// changes one route.
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
