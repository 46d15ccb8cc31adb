package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case samePlace.
const (
	placeCalm  = 3 * time.Second
	placePause = 50 * time.Millisecond
	placeAfter = 3 * time.Second
)

// The services of the case, and the path that its clients use.
const (
	bookings = "bookings"
	archive  = "archive"
	bookPath = "/booking/17"
)

// portal returns a configuration in which bookPath belongs to bookings. extra are routes before it.
func portal(version int, extra string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s
{"name":"booking","host":"a.example","pathPrefix":"/booking/","routeType":"idempotent","timeoutMs":4000,"latencyTargetMs":300,"priority":0,"service":"bookings","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500},
{"name":"archive","host":"a.example","pathPrefix":"/archive/","routeType":"idempotent","timeoutMs":4000,"latencyTargetMs":300,"priority":0,"service":"archive","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500}],
"services":[{"name":"bookings","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false},{"name":"archive","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-of-tenant-one"],"priority":1}]}`, version, extra)
}

// second is a route with the host and the prefix of the route booking, at the other service. Hosts
// are compared without regard to case (RFC 9110, section 4.2.3).
const second = `{"name":"second","host":"A.example","pathPrefix":"/booking/","routeType":"idempotent","timeoutMs":4000,"latencyTargetMs":300,"priority":0,"service":"archive","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500},`

// samePlace sends a configuration in which two routes share the same host and prefix, with the host
// written in two ways. It must be refused and never be in force.
func samePlace(l *lab) ([]string, error) {
	f := l.fleet
	if err := f.startAll(true); err != nil {
		return nil, err
	}
	if _, err := f.put(portal(3, ""), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	runs := &serviceRuns{byID: make(map[string]string)}
	for i, zone := range zones {
		for _, service := range []string{bookings, archive} {
			s, err := startServer(f, l.log, fmt.Sprintf("i-%s-%d", service, i+1), service, zone, runs.handler(service))
			if err != nil {
				return nil, err
			}
			defer s.exit()
		}
	}
	time.Sleep(2 * heartbeatTime)
	before := runs.send(l, placeCalm)
	var breaks []string
	if l.trouble {
		status, text := call(http.MethodPut, "http://"+f.cores[0].controlAddr()+"/api/config", portal(5, second))
		l.log.say("the configuration with two routes for %s is answered %d %s", bookPath, status, strings.TrimSpace(string(text)))
		if status == http.StatusOK {
			breaks = append(breaks, "CONFIG: an invalid configuration is acknowledged: two routes share the same host and prefix")
		}
		time.Sleep(configApplyTime)
	}
	after := runs.send(l, placeAfter)
	l.log.say("runs of %s by service: at first %v, later %v", bookPath, before, after)
	if n := after[archive]; n > 0 {
		breaks = append(breaks, fmt.Sprintf("CONFIG: what is invalid is in force: %d requests for %s ran at service %s", n, bookPath, archive))
	}
	return breaks, nil
}

// serviceRuns holds the service at which each request ran.
type serviceRuns struct {
	mu   sync.Mutex
	byID map[string]string
}

func (s *serviceRuns) handler(service string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.byID[r.Header.Get("X-Wigeonwood-Request-Id")] = service
		s.mu.Unlock()
		_, _ = io.WriteString(w, "from "+service)
	}
}

// send sends requests for a while and returns how many of them ran at each service.
func (s *serviceRuns) send(l *lab, d time.Duration) map[string]int {
	e := &entries{fleet: l.fleet}
	n := make(map[string]int)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(placePause) {
		id, router := fmt.Sprintf("%016x", rand.Uint64()), e.pick()
		status, answer, err := get(router, id, bookPath)
		s.mu.Lock()
		service := s.byID[id]
		s.mu.Unlock()
		if service != "" {
			n[service]++
		}
		l.log.add("client sent %s to %s: ran at %q, answer %d %q, error %v", id, router.name, service, status, answer, err)
	}
	return n
}
