package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case releaseStreams.
const (
	streamEvents     = 12
	streamPause      = 40 * time.Millisecond
	streamDeadline   = 6 * time.Second
	keptConnections  = 18
	streamCalm       = 6 * time.Second
	streamReleaseGap = 3 * time.Second
	streamAfter      = 5 * time.Second
	// streamServers is the number of servers, of which half are replaced.
	streamServers = 6
	// allowedCloses is how many connections the rule allows a machine to close.
	allowedCloses = 3
)

// drafts is the configuration of the case: one route of streams that must not be repeated.
const drafts = `{"version":3,"routes":[{"name":"draft","host":"a.example","pathPrefix":"/draft/","routeType":"stream","timeoutMs":8000,"latencyTargetMs":800,"priority":0,"service":"drafter","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500}],
"services":[{"name":"drafter","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-of-tenant-one"],"priority":1}]}`

// events returns the handler of a server that sends events whose lines end with lineEnd.
func events(l *lab, lineEnd string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Wigeonwood-Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for n := range streamEvents {
			if _, err := io.WriteString(w, event(n+1, lineEnd)); err != nil {
				l.log.add("the stream of %s can't be written: %v", id, err)
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				l.log.add("the stream of %s is cut by the router after event %d", id, n+1)
				return
			case <-time.After(streamPause):
			}
		}
		l.log.add("the stream of %s is sent to its end", id)
	}
}

// event returns one event of a stream.
func event(n int, lineEnd string) string {
	return fmt.Sprintf("id: %d%sdata: part %d%s%s", n, lineEnd, n, lineEnd, lineEnd)
}

// wholeStream is the body of a complete stream, with the line ends that all servers' streams have
// in common.
func wholeStream() string {
	var b strings.Builder
	for n := range streamEvents {
		b.WriteString(event(n+1, "\n"))
	}
	return b.String()
}

// keptRequest is one request on a kept connection and what became of it.
type keptRequest struct {
	router *machine
	id     string
	sent   time.Time
	ended  time.Time
	first  bool
	// silent is set if the connection ended before a byte of the answer.
	silent bool
	status int
	body   string
	err    error
}

// releaseStreams replaces the servers of a service one after the other, as a release of their
// software does. The new ones send the same events with other line ends, which the media type
// allows as well. A machine may not close a kept connection without an answer, more than three
// times, after it has passed the request on to a sound server.
func releaseStreams(l *lab) ([]string, error) {
	f := l.fleet
	if err := f.startAll(true); err != nil {
		return nil, err
	}
	if _, err := f.put([]byte(drafts), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var servers []*server
	start := func(id, zone, lineEnd string) (*server, error) {
		s, err := startServer(f, l.log, id, "drafter", zone, events(l, lineEnd))
		if err == nil {
			servers = append(servers, s)
		}
		return s, err
	}
	defer func() {
		for _, s := range servers {
			s.exit()
		}
	}()
	var old []*server
	for i := range streamServers {
		s, err := start(fmt.Sprintf("i-old-%d", i+1), zones[i%len(zones)], "\n")
		if err != nil {
			return nil, err
		}
		old = append(old, s)
	}
	time.Sleep(heartbeatTime)
	k := &keptClients{lab: l, entries: &entries{fleet: f}, stop: make(chan struct{})}
	k.start()
	time.Sleep(streamCalm)
	if l.trouble {
		for i, s := range old[:streamServers/2] {
			if err := release(l, start, i, s); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(streamAfter)
	k.end()
	return closedWithoutAnswer(l, k, servers), nil
}

// release starts the successor of a server, and then lets the server leave.
func release(l *lab, start func(id, zone, lineEnd string) (*server, error), i int, s *server) error {
	next, err := start(fmt.Sprintf("i-new-%d", i+1), s.zone, "\r\n")
	if err != nil {
		return err
	}
	time.Sleep(heartbeatTime)
	by, _ := s.leave(3 * time.Second)
	if by == nil {
		return fmt.Errorf("no machine acknowledged that %s leaves", s.id)
	}
	l.log.say("server %s takes over from %s", next.id, s.id)
	time.AfterFunc(drainTime+streamDeadline, s.exit)
	time.Sleep(streamReleaseGap)
	return nil
}

// keptClients send one request after the other on kept connections.
type keptClients struct {
	lab     *lab
	entries *entries
	stop    chan struct{}
	sending sync.WaitGroup

	mu       sync.Mutex
	requests []*keptRequest
}

func (k *keptClients) start() {
	for range keptConnections {
		k.sending.Go(func() {
			for !k.stopped() {
				k.useConnection(k.entries.pick())
			}
		})
	}
}

func (k *keptClients) stopped() bool {
	select {
	case <-k.stop:
		return true
	default:
		return false
	}
}

func (k *keptClients) end() {
	close(k.stop)
	k.sending.Wait()
}

// useConnection sends requests on one connection until it ends.
func (k *keptClients) useConnection(router *machine) {
	conn, err := net.DialTimeout("tcp", router.callerAddr(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; !k.stopped(); n++ {
		r := &keptRequest{id: fmt.Sprintf("%016x", rand.Uint64()), router: router, first: n == 0, sent: time.Now()}
		closes := r.exchange(conn, reader)
		r.ended = time.Now()
		k.lab.log.add("client %s sent %.3f s ago to %s: status %d, %d bytes, error %v", r.id, r.ended.Sub(r.sent).Seconds(), router.name, r.status, len(r.body), r.err)
		k.mu.Lock()
		k.requests = append(k.requests, r)
		k.mu.Unlock()
		if r.err != nil || closes {
			return
		}
	}
}

// exchange sends the request and reads the answer. It reports whether the connection ends with it.
func (r *keptRequest) exchange(conn net.Conn, reader *bufio.Reader) (closes bool) {
	_ = conn.SetDeadline(time.Now().Add(streamDeadline + time.Second))
	_, r.err = fmt.Fprintf(conn, "POST /draft/x HTTP/1.1\r\nHost: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\n{}",
		host, r.id, streamDeadline.Milliseconds(), apiKey)
	if r.err != nil {
		return true
	}
	if _, r.err = reader.Peek(1); r.err != nil {
		var timeout net.Error
		r.silent = !errors.As(r.err, &timeout) || !timeout.Timeout()
		return true
	}
	var resp *http.Response
	if resp, r.err = http.ReadResponse(reader, nil); r.err != nil {
		return true
	}
	defer resp.Body.Close()
	var body []byte
	body, r.err = io.ReadAll(resp.Body)
	r.status, r.body = resp.StatusCode, string(body)
	return resp.Close
}

// closedWithoutAnswer returns the requests on kept connections that were passed on to a server and
// whose connection was closed without an answer, of the machines that did so more often than the rule
// allows.
func closedWithoutAnswer(l *lab, k *keptClients, servers []*server) []string {
	ranAt := make(map[string]string)
	for _, s := range servers {
		for id := range s.arrivals() {
			ranAt[id] = s.id
		}
	}
	closes := make(map[string][]string)
	whole := 0
	for _, r := range k.requests {
		if r.status == http.StatusOK && strings.ReplaceAll(r.body, "\r\n", "\n") == wholeStream() {
			whole++
		}
		if r.first || !r.silent || ranAt[r.id] == "" || r.ended.Sub(r.sent) >= streamDeadline {
			continue
		}
		closes[r.router.name] = append(closes[r.router.name], fmt.Sprintf("LOST: request %s on a kept connection of %s was passed on to %s, and its connection ended without an answer after %.3f s: %v",
			r.id, r.router.name, ranAt[r.id], r.ended.Sub(r.sent).Seconds(), r.err))
	}
	l.log.say("%d requests, %d of them answered with the whole stream", len(k.requests), whole)
	var breaks []string
	for _, m := range l.fleet.edges {
		l.log.say("%s closed %d kept connections without an answer", m.name, len(closes[m.name]))
		if len(closes[m.name]) > allowedCloses {
			breaks = append(breaks, closes[m.name]...)
		}
	}
	return breaks
}
