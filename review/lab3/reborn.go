package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case rebornBehindCut.
const (
	rebornServers  = 12
	rebornStreams  = 72
	rebornDeadline = 15 * time.Second
	// rebornStart is the time over which the streams start, rebornBefore that until the cut.
	rebornStart  = 1500 * time.Millisecond
	rebornBefore = 2 * time.Second
	rebornCut    = 3 * time.Second
	rebornKill   = 500 * time.Millisecond
	rebornDown   = time.Second
	// patience is the gap after which clients abandon a stream: eight times the longest pause of
	// a stream that is on time.
	patience = 4 * time.Second
)

// summaries is the configuration of the case: one route of streams that must not be repeated.
const summaries = `{"version":3,"routes":[{"name":"summary","host":"a.example","pathPrefix":"/summary/","routeType":"stream","timeoutMs":15000,"latencyTargetMs":800,"priority":0,"service":"drafter","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500}],
"services":[{"name":"drafter","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-of-tenant-one"],"priority":1}]}`

// rebornBehindCut cuts one server off from all machines, and meanwhile the server crashes and starts
// again under its id and address. No stream that it had begun may reach its client as complete.
func rebornBehindCut(l *lab) ([]string, error) {
	f := l.fleet
	if err := f.startAll(true); err != nil {
		return nil, err
	}
	if _, err := f.put([]byte(summaries), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var servers []*serverProcess
	var links []*serverLinks
	for i := range rebornServers {
		s, p, err := startBehindProxy(f, i)
		if err != nil {
			return nil, err
		}
		defer s.kill()
		defer p.close()
		servers, links = append(servers, s), append(links, p)
	}
	time.Sleep(2 * heartbeatTime)
	streams := &streamClients{lab: l, entries: &entries{fleet: f}}
	streams.start()
	time.Sleep(rebornStart + rebornBefore)
	if l.trouble {
		busiest := 0
		for i, p := range links {
			if p.routers.connections() > links[busiest].routers.connections() {
				busiest = i
			}
		}
		if err := reborn(l, servers[busiest], links[busiest]); err != nil {
			return nil, err
		}
	}
	streams.reading.Wait()
	return streams.shortened(), nil
}

// serverLinks are the links of one server: to the routers, and to each core machine.
type serverLinks struct {
	routers  *proxy
	controls []*proxy
}

func (s *serverLinks) setCut(cut bool) {
	s.routers.setCut(cut)
	for _, p := range s.controls {
		p.setCut(cut)
	}
}

func (s *serverLinks) close() {
	s.routers.listener.Close()
	for _, p := range s.controls {
		p.listener.Close()
	}
}

// startBehindProxy starts a server that routers reach through a proxy, and that reaches the core
// machines through others.
func startBehindProxy(f *fleet, i int) (*serverProcess, *serverLinks, error) {
	free, err := freePorts("127.0.0.1", 1)
	if err != nil {
		return nil, nil, err
	}
	backend := fmt.Sprintf("127.0.0.1:%d", free[0])
	links := &serverLinks{}
	if links.routers, err = newProxy(backend); err != nil {
		return nil, nil, err
	}
	s := &serverProcess{id: fmt.Sprintf("i-%d", i+1), service: "drafter", zone: zones[i%len(zones)], addr: backend, announced: links.routers.addr()}
	for _, m := range f.cores {
		p, err := newProxy(m.controlAddr())
		if err != nil {
			return nil, nil, err
		}
		links.controls = append(links.controls, p)
		s.controls = append(s.controls, p.addr())
	}
	return s, links, s.start()
}

// reborn cuts a server off, kills it and starts it again, and joins it again.
func reborn(l *lab, s *serverProcess, link *serverLinks) error {
	began := time.Now()
	link.setCut(true)
	l.log.say("server %s is cut off", s.id)
	time.Sleep(rebornKill)
	s.kill()
	l.log.say("server %s is killed", s.id)
	time.Sleep(rebornDown)
	if err := s.start(); err != nil {
		return err
	}
	l.log.say("server %s starts again", s.id)
	time.Sleep(rebornCut - time.Since(began))
	link.setCut(false)
	l.log.say("server %s is reachable again after %.3f s", s.id, time.Since(began).Seconds())
	return nil
}

// streamResult is one stream as its client got it.
type streamResult struct {
	id     string
	server string
	status int
	events int
	err    error
	// gap is the longest time without an event.
	gap time.Duration
}

// streamClients read streams and keep what they got.
type streamClients struct {
	lab     *lab
	entries *entries
	reading sync.WaitGroup

	mu      sync.Mutex
	results []*streamResult
}

// start begins the streams, one after the other.
func (c *streamClients) start() {
	for i := range rebornStreams {
		c.reading.Go(func() {
			time.Sleep(time.Duration(i) * rebornStart / rebornStreams)
			r := &streamResult{id: fmt.Sprintf("%016x", rand.Uint64())}
			r.read(c.entries.pick().callerAddr())
			c.lab.log.add("client %s: status %d from %s, %d of %d events, longest gap %.3f s, error %v", r.id, r.status, r.server, r.events, processEvents, r.gap.Seconds(), r.err)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.results = append(c.results, r)
		})
	}
}

// read reads one stream until it ends, or until the client loses patience.
func (r *streamResult) read(addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return
	}
	defer conn.Close()
	_, r.err = fmt.Fprintf(conn, "POST /summary/x HTTP/1.1\r\nHost: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\n{}",
		host, r.id, rebornDeadline.Milliseconds(), apiKey)
	if r.err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	r.server = strings.TrimPrefix(strings.TrimSuffix(resp.Header.Get("X-Wigeonwood-Server-Stamp"), "."+r.id), "stamp.")
	r.readEvents(conn, bufio.NewReader(resp.Body))
}

// readEvents counts the events of the body. The error is nil if the body ends in order.
func (r *streamResult) readEvents(conn net.Conn, body *bufio.Reader) {
	last := time.Now()
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			return
		}
		if line != "\n" {
			continue
		}
		r.events++
		r.gap = max(r.gap, time.Since(last))
		last = time.Now()
		_ = conn.SetReadDeadline(last.Add(patience))
	}
}

// shortened returns the streams that ended in order before their last event.
func (c *streamClients) shortened() (breaks []string) {
	whole, cut := 0, 0
	for _, r := range c.results {
		switch {
		case r.status == http.StatusOK && r.err == nil && r.events < processEvents:
			breaks = append(breaks, fmt.Sprintf("ORDER, MIXED: stream %s of server %s ended as complete after %d of %d events", r.id, r.server, r.events, processEvents))
		case r.status == http.StatusOK && r.err == nil:
			whole++
		default:
			cut++
		}
	}
	c.lab.log.say("%d streams: %d whole, %d cut visibly or refused, %d shortened", len(c.results), whole, cut, len(breaks))
	return breaks
}
