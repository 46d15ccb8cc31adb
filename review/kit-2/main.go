// Package main holds the stand-ins and the drivers of the cases of the second review.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: kit-2 CASE RECORD | server FLAGS")
		os.Exit(2)
	}
	if os.Args[1] == "server" {
		fmt.Fprintln(os.Stderr, serverMain(os.Args[2:]))
		os.Exit(1)
	}
	run := cases[os.Args[1]]
	if run == nil || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(runCase(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// cases holds the drivers by name. A driver returns how often the rule was broken.
var cases = map[string]func(s *site, trouble bool) (broken int, err error){}

func runCase(run func(*site, bool) (int, error), recordPath string, trouble bool) int {
	s, err := newSite(recordPath, replicas, routers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	broken, err := s.runWithin(maxCase, func() (int, error) { return run(s, trouble) })
	switch {
	case err != nil:
		s.logf("%v", err)
		fmt.Println(err)
		return 2
	case broken > 0:
		s.logf("RULE BROKEN %d times", broken)
		fmt.Printf("rule broken %d times\n", broken)
		return 1
	}
	s.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}

const (
	// replicas and routers are the numbers of core and edge machines, as in the site hkb-survey.
	replicas = 5
	routers  = 9
	// maxCase bounds the time of a case.
	maxCase = 110 * time.Second
)

// runWithin runs a case. It fails if the case takes too long, or if this process is to end.
func (s *site) runWithin(limit time.Duration, run func() (int, error)) (broken int, err error) {
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run()
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return r.broken, r.err
	case <-ends:
		return 0, fmt.Errorf("%w: it was ended", errCase)
	case <-time.After(limit):
		return 0, fmt.Errorf("%w: it takes too long", errCase)
	}
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// config returns a configuration with one route of each kind.
func config(version int) string {
	route := func(name, kind, service string, timeout, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"ficu95.example","pathPrefix":"/%s/","routeType":%q,"timeoutMs":%d,"latencyTargetMs":800,"priority":1,"service":%q,"maxAttempts":%d,"public":false,"sticky":false,"resumable":%t,"gapGoalMs":500}`,
			"r-"+name, name, kind, timeout, service, attempts, resumable)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],"services":[{"name":"plain","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false},{"name":"llm","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":571163,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":[%q],"priority":1}]}`,
		version, route("once", "non_idempotent", "plain", 4000, 1, false), route("free", "idempotent", "plain", 8000, 2, false),
		route("final", "stream", "llm", 15000, 1, false), route("draft", "stream", "llm", 15000, 2, true), apiKey)
}

// answer is what a client has seen of the answer to a request.
type answer struct {
	status int
	body   string
	// err is set if the answer is not complete.
	err error
}

// call sends a request on a new connection and reads the answer to its end.
func (s *site) call(router int, method, target, id string, deadline time.Duration, body string) answer {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", s.ip(router), frontPort), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, target, id, deadline.Milliseconds(), apiKey)
	if method == http.MethodPost {
		fmt.Fprintf(conn, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(conn, "\r\n%s", body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), err: err}
}

// describe describes an answer for the record.
func (a answer) describe(want string) string {
	switch {
	case a.err != nil && a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case a.err != nil:
		return fmt.Sprintf("status %d, %d bytes, visibly incomplete: %v", a.status, len(a.body), a.err)
	case a.body == want:
		return fmt.Sprintf("status %d, the whole body", a.status)
	}
	return fmt.Sprintf("status %d, ended as complete with %d of %d bytes, %d pieces", a.status, len(a.body), len(want), strings.Count(a.body, "id: "))
}

// partial reports whether a success looks complete to the client and is not.
func (a answer) partial(want string) bool {
	return a.err == nil && a.status/100 == 2 && a.body != want
}

// warm waits until each router reaches the service.
func (s *site) warm(paths ...string) error {
	for i := range s.routers {
		for _, path := range paths {
			ok := within(15*time.Second, func() bool {
				a := s.call(routerNumber(i), http.MethodPost, path, fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), 2*time.Second, "x")
				return a.err == nil && a.status == http.StatusOK
			})
			if !ok {
				return errors.Join(errCase, fmt.Errorf("router %d does not serve %s", i, path))
			}
		}
	}
	return nil
}
