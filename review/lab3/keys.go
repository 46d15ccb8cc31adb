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

// Times of the case lastTenant.
const (
	keysCalm  = 3 * time.Second
	keysPause = 50 * time.Millisecond
	keysAfter = 3 * time.Second
)

// foreignKey is a key that no configuration ever holds.
const foreignKey = "key-that-nobody-holds"

// tenantOne is the only tenant of the case.
const tenantOne = `{"name":"one","apiKeys":["key-of-tenant-one"],"priority":1}`

// withTenants returns a configuration with one route that needs a key, and these tenants.
func withTenants(version int, tenants string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"lookup","host":"a.example","pathPrefix":"/lookup/","routeType":"idempotent","timeoutMs":4000,"latencyTargetMs":300,"priority":0,"service":"portal","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapGoalMs":500}],
"services":[{"name":"portal","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[%s]}`, version, tenants)
}

// keyRuns holds the ids of the requests that ran.
type keyRuns struct {
	mu  sync.Mutex
	ran map[string]bool
}

// lastTenant removes the last tenant, and with it the only key. From then on no key is valid, so that
// no request may run on a route that needs one.
func lastTenant(l *lab) ([]string, error) {
	f := l.fleet
	if err := f.startAll(true); err != nil {
		return nil, err
	}
	if _, err := f.put(withTenants(3, tenantOne), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	runs := &keyRuns{ran: make(map[string]bool)}
	for i, zone := range zones {
		s, err := startServer(f, l.log, fmt.Sprintf("i-portal-%d", i+1), "portal", zone, runs.serve)
		if err != nil {
			return nil, err
		}
		defer s.exit()
	}
	time.Sleep(2 * heartbeatTime)
	runs.send(l, keysCalm)
	revoked := false
	if l.trouble {
		status, text := call(http.MethodPut, "http://"+f.cores[0].controlAddr()+"/api/config", withTenants(5, ""))
		l.log.say("the configuration without the tenant is answered %d %s", status, strings.TrimSpace(string(text)))
		if status == 0 {
			return nil, fmt.Errorf("the change got no answer")
		}
		// A configuration that is refused changes nothing.
		revoked = status == http.StatusOK
		time.Sleep(configApplyTime)
	}
	own, foreign := runs.send(l, keysAfter)
	l.log.say("later ran %d requests with the key of tenant one and %d with a key that no configuration ever held", own, foreign)
	var breaks []string
	if foreign > 0 {
		breaks = append(breaks, fmt.Sprintf("ROUTE: %d requests ran whose key no configuration ever held", foreign))
	}
	if revoked && own > 0 {
		breaks = append(breaks, fmt.Sprintf("CONFIG: %d requests ran with a dropped key, sent later than configApplyMs after the acknowledgement", own))
	}
	return breaks, nil
}

// serve runs a request.
func (k *keyRuns) serve(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	k.ran[r.Header.Get("X-Wigeonwood-Request-Id")] = true
	k.mu.Unlock()
	_, _ = io.WriteString(w, "a record")
}

// send sends requests for a while, with either key in turn, and returns how many with each ran.
func (k *keyRuns) send(l *lab, d time.Duration) (own, foreign int) {
	e := &entries{fleet: l.fleet}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(keysPause) {
		own += k.sendOne(l, e.pick(), apiKey)
		foreign += k.sendOne(l, e.pick(), foreignKey)
	}
	return own, foreign
}

// sendOne sends one request with a key and returns 1 if it ran.
func (k *keyRuns) sendOne(l *lab, router *machine, key string) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	status, answer, err := getWithKey(router, id, "/lookup/17", key)
	k.mu.Lock()
	defer k.mu.Unlock()
	l.log.add("client sent %s with %s to %s: ran %t, answer %d %q, error %v", id, key, router.name, k.ran[id], status, answer, err)
	if k.ran[id] {
		return 1
	}
	return 0
}
