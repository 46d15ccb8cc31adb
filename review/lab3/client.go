package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "a.example"

// apiKey is the key of the only tenant.
const apiKey = "key-of-tenant-one"

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
