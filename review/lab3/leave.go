package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Times of the case leaveLost.
const (
	leaveWork       = 150 * time.Millisecond
	leaveEvery      = 25 * time.Millisecond
	leaveDeadline   = 2 * time.Second
	leaveServesOn   = 8 * time.Second
	leaveKillAfter  = 100 * time.Millisecond
	leaveDownTime   = 500 * time.Millisecond
	leaveCalmBefore = 6 * time.Second
)

// bookings is the configuration of the case: one route whose requests must not be repeated.
const bookings = `{"version":3,"routes":[{"name":"book","host":"a.example","pathPrefix":"/book/","routeType":"non_idempotent","timeoutMs":2000,"latencyTargetMs":500,"priority":0,"service":"portal","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapGoalMs":0}],
"services":[{"name":"portal","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-of-tenant-one"],"priority":1}]}`

// leaveLost lets a server leave. Right after this was acknowledged, all processes of the system
// are killed and start again. No request may reach the server later than drainTime after the
// acknowledgement that routers in touch take and send on.
func leaveLost(l *lab) ([]string, error) {
	f := l.fleet
	if err := f.startAll(true); err != nil {
		return nil, err
	}
	if _, err := f.put([]byte(bookings), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	work := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(leaveWork)
		fmt.Fprintf(w, "booked %s", r.Header.Get("X-Wigeonwood-Request-Id"))
	}
	var servers []*server
	for i, zone := range zones {
		s, err := startServer(f, l.log, fmt.Sprintf("i-%d", i+1), "portal", zone, work)
		if err != nil {
			return nil, err
		}
		defer s.exit()
		servers = append(servers, s)
	}
	time.Sleep(heartbeatTime)
	c := &clients{entries: &entries{fleet: f}, log: l.log}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(http.MethodPost, "/book/x", leaveEvery, leaveCalmBefore+leaveServesOn, leaveDeadline)
	}()
	time.Sleep(leaveCalmBefore)
	leaving := servers[2]
	if len(leaving.arrivals()) == 0 {
		return nil, fmt.Errorf("server %s had no requests before it left", leaving.id)
	}
	by, acknowledged := leaving.leave(3 * time.Second)
	if by == nil {
		return nil, fmt.Errorf("no machine acknowledged that %s leaves", leaving.id)
	}
	l.log.say("server %s leaves: acknowledged by %s", leaving.id, by.name)
	inTouch := acknowledged
	if l.trouble {
		time.Sleep(leaveKillAfter)
		killAll(f.machines())
		l.log.say("all processes are killed %.3f s after the acknowledgement", time.Since(acknowledged).Seconds())
		time.Sleep(leaveDownTime)
		if err := f.startAll(false); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(contactTime)
		l.log.say("all processes run again %.3f s after the acknowledgement", time.Since(acknowledged).Seconds())
	}
	<-done
	return lateArrivals(l, c, leaving, acknowledged, inTouch), nil
}

// lateArrivals returns the requests that reached a leaving server too late.
func lateArrivals(l *lab, c *clients, leaving *server, acknowledged, inTouch time.Time) (breaks []string) {
	arrivals := leaving.arrivals()
	served := 0
	for _, a := range c.attempts {
		if a.sent.After(inTouch) && a.status == http.StatusOK {
			served++
		}
		at, arrived := arrivals[a.id]
		late := at.Sub(acknowledged)
		if !arrived || late <= drainTime || a.sent.Before(inTouch) {
			continue
		}
		breaks = append(breaks, fmt.Sprintf("DRAIN: request %s, sent to %s %.3f s after it was in touch, reached %s %.3f s after the acknowledgement that it leaves",
			a.id, a.router.name, a.sent.Sub(inTouch).Seconds(), leaving.id, late.Seconds()))
	}
	l.log.say("%d requests, %d of them answered with success while the routers were in touch", len(c.attempts), served)
	return breaks
}
