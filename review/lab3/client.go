package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "a.example"

// apiKey is the key of the only tenant.
const apiKey = "key-of-tenant-one"

// attempt is one request of a client and what became of it.
type attempt struct {
	id     string
	router *machine
	sent   time.Time
	ended  time.Time
	// status is zero if no answer came.
	status int
	body   string
	err    error
}

// clients send requests to the routers and keep what became of them.
type clients struct {
	entries *entries
	log     *record

	mu       sync.Mutex
	attempts []*attempt
	sending  sync.WaitGroup
}

// entries are the routers that clients may use. Clients ask the deployment for them, keep the answer
// for a while, and longer if they get no new one.
type entries struct {
	fleet *fleet

	mu      sync.Mutex
	routers []*machine
	asked   time.Time
}

// entryTime is how long the answer to a lookup is kept.
const entryTime = 2 * time.Second

// pick returns a random router.
func (e *entries) pick() *machine {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.asked) > entryTime {
		e.asked = time.Now()
		if routers := e.fleet.resolve(); len(routers) > 0 {
			e.routers = routers
		}
	}
	if len(e.routers) == 0 {
		return e.fleet.edges[rand.IntN(len(e.fleet.edges))]
	}
	return e.routers[rand.IntN(len(e.routers))]
}

// resolve asks up to three machines for the routers to use; it returns none if none of them answers.
func (f *fleet) resolve() []*machine {
	for _, i := range rand.Perm(len(f.machines()))[:3] {
		status, body := call(http.MethodGet, "http://"+f.machines()[i].lookupAddr()+"/api/resolve?name="+host+"&region=region-1&zone="+zones[0], nil)
		var reply struct {
			Addresses []string `json:"addresses"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &reply) != nil {
			continue
		}
		var routers []*machine
		for _, m := range f.edges {
			if slices.Contains(reply.Addresses, m.callerAddr()) {
				routers = append(routers, m)
			}
		}
		if len(routers) > 0 {
			return routers
		}
	}
	return nil
}

// run sends requests at the given interval until the time is over, each on a new connection.
func (c *clients) run(method, path string, every, duration, deadline time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		<-ticker.C
		c.sending.Go(func() { c.send(method, path, deadline) })
	}
	c.sending.Wait()
}

// send sends one request to a random router.
func (c *clients) send(method, path string, deadline time.Duration) {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), router: c.entries.pick()}
	a.sent = time.Now()
	a.status, a.body, a.err = exchange(a.router.callerAddr(), method, path, a.id, deadline)
	a.ended = time.Now()
	c.log.add("client %s sent %.3f s ago to %s: status %d, error %v", a.id, a.ended.Sub(a.sent).Seconds(), a.router.name, a.status, a.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// exchange sends one request on a new connection and reads the whole answer.
func exchange(addr, method, path, id string, deadline time.Duration) (int, string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nConnection: close\r\n", method, path, host, id, deadline.Milliseconds(), apiKey)
	if method == http.MethodPost {
		b.WriteString("Content-Length: 2\r\n\r\n{}")
	} else {
		b.WriteString("\r\n")
	}
	if _, err := conn.Write(b.Bytes()); err != nil {
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
