package announce

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestPaceKeepsAnswersWithinTheirRate checks that the interval grows with the number
// of targets up to its maximum, so that the replies to announcements (the answers in
// the name) stay within replyBytesPerSecond, and shrinks again after targets have left.
// The pacer counts the targets in windows of one lease.
func TestPaceKeepsAnswersWithinTheirRate(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		targets int
		want    time.Duration
	}{{1, DefaultInterval}, {2, DefaultInterval}, {6, 6 * replyBytes * time.Second / replyBytesPerSecond}, {100, time.Second}} {
		p := newPacer(DefaultInterval, DefaultLease)
		var got time.Duration
		for range 3 {
			for i := range c.targets {
				got = p.interval(fmt.Sprint(i), now)
			}
			now = now.Add(DefaultLease + time.Millisecond)
		}
		if got != c.want {
			t.Errorf("%d targets announce every %v, want %v", c.targets, got, c.want)
		}
	}
	p := newPacer(DefaultInterval, DefaultLease)
	for i := range 100 {
		p.interval(fmt.Sprint(i), now)
	}
	for range 3 {
		now = now.Add(DefaultLease + time.Millisecond)
		if got := p.interval("0", now); got != DefaultInterval && p.previousCount < 2 {
			t.Errorf("after the other targets left: every %v", got)
		}
	}
	if got := p.interval("0", now); got != DefaultInterval {
		t.Errorf("three leases after the other targets left: every %v", got)
	}
}

// TestReplyBytes compares replyBytes, which the pacer uses, and replyHeaderBytes,
// which the budget charges, with the bytes on a real connection.
func TestReplyBytes(t *testing.T) {
	s := startRouter(t, &fakeRouter{})
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	stamp := ""
	for sequence := range 3 {
		body := fmt.Sprintf(`{"id":"e","kind":"engine","addr":"10.0.0.1:80","incarnation":1,"sequence":%d,"capacity":1,"stamp":%q}`, sequence+1, stamp)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", PathAnnounce, len(body), body)
		var raw bytes.Buffer
		resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(reader, &raw)), nil)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		var reply Reply
		if err := json.Unmarshal(answer, &reply); err != nil {
			t.Fatal(err)
		}
		stamp = reply.Stamp
		if headers := raw.Len() - len(answer); headers > replyHeaderBytes+4 {
			t.Errorf("headers take %d bytes, counted as %d", headers, replyHeaderBytes)
		}
		if reply.Listed && raw.Len() > replyBytes+10 {
			t.Errorf("reply takes %d bytes, counted as %d", raw.Len(), replyBytes)
		}
	}
}

// TestSurplusTargetsAreSentAway checks that a router with more targets than
// replyBytesPerSecond allows redirects the surplus in the pacer's next window, which
// is one lease long, but redirects none if the average over all routers is that high
// too.
func TestSurplusTargetsAreSentAway(t *testing.T) {
	const targets, surplus = 12, 4
	lease := 2500 * time.Millisecond
	countRedirects := func(known fleetSize) int {
		p := newPacer(500*time.Millisecond, lease)
		now := time.Unix(1000, 0)
		redirected := 0
		for range 2 {
			now = now.Add(lease + time.Millisecond)
			for i := range targets {
				p.interval(fmt.Sprint("t", i), now)
				if p.redirect(known) {
					redirected++
				}
			}
		}
		return redirected
	}
	if got := countRedirects(fleetSize{targets: 15, routers: 9}); got != surplus {
		t.Errorf("%d targets were redirected, want %d", got, surplus)
	}
	if got := countRedirects(fleetSize{targets: 1000, routers: 9}); got != 0 {
		t.Errorf("%d targets were redirected though all routers have as many", got)
	}
}
