package main

import (
	"bufio"
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

// Times and sizes of the case changedPaths.
const (
	pathServers  = 3
	pathClients  = 6
	pathCalm     = 4 * time.Second
	pathPause    = 100 * time.Millisecond
	pathAfter    = 4 * time.Second
	pathDeadline = 4 * time.Second
)

// results is the configuration of the case with one route. resultsByLot adds another one.
const (
	results      = `{"version":3,"routes":[` + resultsRoute + resultsRest
	resultsByLot = `{"version":5,"routes":[` + resultsRoute + `,` + lotsRoute + resultsRest
	resultsRoute = `{"name":"results","host":"a.example","pathPrefix":"/results/","routeType":"idempotent","timeoutMs":4000,"latencyTargetMs":300,"priority":0,"service":"portal","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500}`
	lotsRoute    = `{"name":"lots","host":"a.example","pathPrefix":"/lots/","routeType":"idempotent","timeoutMs":4000,"latencyTargetMs":300,"priority":0,"service":"portal","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500}`
	resultsRest  = `],
"services":[{"name":"portal","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-of-tenant-one"],"priority":1}]}`
)

// lookup is one request, what a server got of it and what its client got.
type lookup struct {
	target string
	got    []string
	status int
	answer string
}

// lookups holds all requests by id.
type lookups struct {
	mu   sync.Mutex
	byID map[string]*lookup
}

// changedPaths adds a route by a change of the configuration, whose clients name what they look up in
// the path. Each request must reach its server with the path and the query that its client sent.
func changedPaths(l *lab) ([]string, error) {
	f := l.fleet
	if err := f.startAll(true); err != nil {
		return nil, err
	}
	if _, err := f.put([]byte(results), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	all := &lookups{byID: make(map[string]*lookup)}
	for i := range pathServers {
		s, err := startServer(f, l.log, fmt.Sprintf("i-portal-%d", i+1), "portal", zones[i], all.serve)
		if err != nil {
			return nil, err
		}
		defer s.exit()
	}
	time.Sleep(2 * heartbeatTime)
	all.send(l, pathCalm, func(lot, specimen int) string {
		return fmt.Sprintf("/results/?lot=2026%%2F%d|A&specimen=%d", lot, specimen)
	})
	if l.trouble {
		m, err := f.put([]byte(resultsByLot), 10*time.Second)
		if err != nil {
			return nil, err
		}
		l.log.say("%s acknowledged the change that adds the route /lots/", m.name)
		time.Sleep(configApplyTime)
		all.send(l, pathAfter, func(lot, specimen int) string {
			return fmt.Sprintf("/lots/2026%%2F%d|A/%d", lot, specimen)
		})
	}
	return all.changed(l), nil
}

// serve answers a request with the segments of its path, as a server sees them that splits the path
// before it decodes the segments.
func (a *lookups) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Wigeonwood-Request-Id")
	a.mu.Lock()
	if sent := a.byID[id]; sent != nil {
		sent.got = append(sent.got, r.RequestURI)
	}
	a.mu.Unlock()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	segments := strings.Split(strings.Trim(path, "/"), "/")
	fmt.Fprintf(w, "%d segments: %q", len(segments), segments)
}

// send has clients send requests for a while. target returns the path and the query of a request.
func (a *lookups) send(l *lab, d time.Duration, target func(lot, specimen int) string) {
	var sending sync.WaitGroup
	e := &entries{fleet: l.fleet}
	end := time.Now().Add(d)
	for range pathClients {
		sending.Go(func() {
			for time.Now().Before(end) {
				a.sendOne(l, e.pick(), target(rand.IntN(90)+10, rand.IntN(9000)+1000))
				time.Sleep(pathPause)
			}
		})
	}
	sending.Wait()
}

// sendOne sends one request on a connection of its own, and records the answer.
func (a *lookups) sendOne(l *lab, router *machine, target string) {
	id, sent := fmt.Sprintf("%016x", rand.Uint64()), &lookup{target: target}
	a.mu.Lock()
	a.byID[id] = sent
	a.mu.Unlock()
	status, answer, err := get(router, id, target)
	a.mu.Lock()
	defer a.mu.Unlock()
	sent.status, sent.answer = status, answer
	l.log.add("client sent %s %s to %s; servers got %q; answer %d %s, error %v", id, target, router.name, sent.got, status, answer, err)
}

// get sends a GET with this target, as it stands, and returns the answer.
func get(router *machine, id, target string) (status int, answer string, err error) {
	return getWithKey(router, id, target, apiKey)
}

// getWithKey does the same with another key.
func getWithKey(router *machine, id, target, key string) (status int, answer string, err error) {
	conn, err := net.DialTimeout("tcp", router.callerAddr(), time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(pathDeadline))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nConnection: close\r\n\r\n",
		target, host, id, pathDeadline.Milliseconds(), key); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// changed returns the requests that a server ran with another path or query than the client's.
func (a *lookups) changed(l *lab) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var breaks []string
	ran := 0
	for id, sent := range a.byID {
		ran += len(sent.got)
		for _, got := range sent.got {
			if got != sent.target {
				breaks = append(breaks, fmt.Sprintf("UNASKED: request %s was sent as %s and run as %s; its client got %d %s", id, sent.target, got, sent.status, sent.answer))
			}
		}
	}
	slices.Sort(breaks)
	l.log.say("%d requests, %d runs, %d of them with another path or query", len(a.byID), ran, len(breaks))
	return breaks
}
