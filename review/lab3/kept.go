package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the streams, and of the clients that read them.
const (
	streamEvents    = 12
	streamPause     = 40 * time.Millisecond
	streamDeadline  = 6 * time.Second
	keptConnections = 18
	// allowedCloses is how many connections the rule allows a machine to close.
	allowedCloses = 3
)

// drafts is a configuration with one route of streams that must not be repeated.
const drafts = `{"version":3,"routes":[{"name":"draft","host":"a.example","pathPrefix":"/draft/","routeType":"stream","timeoutMs":8000,"latencyTargetMs":800,"priority":0,"service":"drafter","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500}],
"services":[{"name":"drafter","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-of-tenant-one"],"priority":1}]}`

// sendEvents sends all events of a stream, unless its reader leaves before the end.
func sendEvents(l *lab, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Wigeonwood-Request-Id")
	for n := range streamEvents {
		if _, err := io.WriteString(w, event(n+1)); err != nil {
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

// event returns one event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n) }

// wholeStream is the body of a complete stream.
func wholeStream() string {
	var b strings.Builder
	for n := range streamEvents {
		b.WriteString(event(n + 1))
	}
	return b.String()
}

// keptRequest is one request on a kept connection and what became of it.
type keptRequest struct {
	router *machine
	path   string
	id     string
	sent   time.Time
	ended  time.Time
	// answeredAt is when the header of the answer had come; zero if it did not.
	answeredAt time.Time
	first      bool
	// silent is set if the connection ended before a byte of the answer.
	silent bool
	status int
	body   string
	err    error
}

// keptClients send one request after the other on kept connections.
type keptClients struct {
	lab *lab
	// path returns the path of the n-th request on a connection, from zero.
	path    func(n int) string
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
		r := &keptRequest{id: fmt.Sprintf("%016x", rand.Uint64()), router: router, path: k.path(n), first: n == 0, sent: time.Now()}
		closes := r.exchange(conn, reader)
		r.ended = time.Now()
		k.lab.log.add("client %s, %s sent %.3f s ago to %s: status %d, %d bytes, error %v", r.id, r.path, r.ended.Sub(r.sent).Seconds(), router.name, r.status, len(r.body), r.err)
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
	_, r.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\n{}",
		r.path, host, r.id, streamDeadline.Milliseconds(), apiKey)
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
	r.answeredAt = time.Now()
	var body []byte
	body, r.err = io.ReadAll(resp.Body)
	r.status, r.body = resp.StatusCode, string(body)
	return resp.Close
}

// closedWithoutAnswer returns the requests on kept connections that were passed on to a server and
// whose connection was closed without an answer, of the machines that did so more often than the rule
// allows.
func closedWithoutAnswer(l *lab, k *keptClients, servers []*server) []string {
	closes := make(map[string][]string)
	whole := 0
	for _, r := range k.requests {
		if r.status == http.StatusOK && r.body == wholeStream() {
			whole++
		}
		i := slices.IndexFunc(servers, func(s *server) bool { return s.hasRun(r.id) })
		if r.first || !r.silent || i < 0 || r.ended.Sub(r.sent) >= streamDeadline {
			continue
		}
		closes[r.router.name] = append(closes[r.router.name], fmt.Sprintf("LOST: request %s on a kept connection of %s was passed on to %s, and its connection ended without an answer after %.3f s: %v",
			r.id, r.router.name, servers[i].id, r.ended.Sub(r.sent).Seconds(), r.err))
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
