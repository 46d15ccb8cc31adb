package testkit

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdMissing is the number of bytes that an unfinished body lacks at its end.
	crowdMissing = 4 << 10
	// crowdOversize is the size of an oversized body, as a multiple of the limit.
	crowdOversize = 8
	// crowdPiece is the size of one write of a client, in bytes.
	crowdPiece = 64 << 10
	// crowdLargeChunk and crowdSmallChunk are the sizes of chunks, in bytes.
	crowdLargeChunk = 32 << 10
	crowdSmallChunk = 16
	// crowdPause is the pause between two pieces of a trickled body.
	crowdPause = 20 * time.Millisecond
	// crowdSettle bounds the time in which clients send; it is shorter than the time limit
	// for a body.
	crowdSettle = 8 * time.Second
	// crowdRest is the time that the process gets to read what is in socket buffers.
	crowdRest = 2 * time.Second
)

// CrowdCase is one kind of misbehaving clients.
type CrowdCase struct {
	Name string
	// trickle is set if the client pauses between two pieces of the body.
	trickle bool
	// chunk is the size of a chunk; zero for a body with an announced length.
	chunk int
	// oversized is set if the body is larger than the limit. Other bodies lack their end.
	oversized bool
}

// CrowdCases are the kinds of misbehaving clients against which a process must hold its limits.
var CrowdCases = []CrowdCase{
	{Name: "announced and short of the end"},
	{Name: "trickled and short of the end", trickle: true},
	{Name: "large chunks", chunk: crowdLargeChunk},
	{Name: "very small chunks", chunk: crowdSmallChunk},
	{Name: "announced far over the limit", oversized: true},
	{Name: "sent far over the limit", chunk: crowdLargeChunk, oversized: true},
}

// SendCrowd opens a number of connections to addr and sends one request on each: head, which is the
// request line and header lines, and a body of the kind c. limit is the maximum size of a body in
// bytes. SendCrowd returns when each client has sent what it can and the process had time to read
// it. The connections stay open until the test ends.
func SendCrowd(t *testing.T, c CrowdCase, clients int, addr, head string, limit int) {
	t.Helper()
	var all sync.WaitGroup
	for range clients {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Logf("a client could not connect: %v", err)
			continue
		}
		t.Cleanup(func() { conn.Close() })
		all.Go(func() { c.send(conn, head, limit) })
	}
	all.Wait()
	time.Sleep(crowdRest)
}

// send writes a request with a body. Errors are expected, since the process may close the
// connection at any time.
func (c CrowdCase) send(conn net.Conn, head string, limit int) {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdSettle))
	size, length := limit-crowdMissing, limit
	if c.oversized {
		size, length = crowdOversize*limit, crowdOversize*limit
	}
	framing := fmt.Sprintf("Content-Length: %d", length)
	piece := bytes.Repeat([]byte("x"), crowdPiece)
	if c.chunk > 0 {
		framing = "Transfer-Encoding: chunked"
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", c.chunk, bytes.Repeat([]byte("x"), c.chunk))
		piece = bytes.Repeat(chunk, crowdPiece/c.chunk)
	}
	if _, err := fmt.Fprintf(conn, "%s\r\n%s\r\n\r\n", head, framing); err != nil {
		return
	}
	for sent := 0; sent < size; sent += crowdPiece {
		part := piece
		if c.chunk == 0 {
			part = piece[:min(crowdPiece, size-sent)]
		} else if !c.oversized && size-sent < crowdPiece {
			return
		}
		if _, err := conn.Write(part); err != nil {
			return
		}
		if c.trickle {
			time.Sleep(crowdPause)
		}
	}
}

// CheckProcess fails the test if the process has ended, or if the peak of its resident memory in
// MiB or the number of its open descriptors is over its limit.
func CheckProcess(t *testing.T, pid, memoryMB, maxFDs int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	_, after, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		t.Fatalf("the process has ended:\n%s", status)
	}
	peakKB, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		t.Fatal(err)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak of resident memory %d MB, %d descriptors", peakKB>>10, len(open))
	if peakKB>>10 > memoryMB {
		t.Errorf("peak of resident memory %d MB, over the limit of %d MB", peakKB>>10, memoryMB)
	}
	if len(open) > maxFDs {
		t.Errorf("%d open descriptors, over the limit of %d", len(open), maxFDs)
	}
}
