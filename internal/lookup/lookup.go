// Package lookup serves the entry addresses of the fleet to callers: the addresses
// at which routers accept requests. The fleet has no load balancer in front of it.
// A caller queries any instance, caches the answer for its TTL and connects to one
// of the addresses itself.
//
// The package does not forward or admit requests.
package lookup

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// DefaultTTL is how long callers may cache an answer.
	DefaultTTL = 5 * time.Second
	// DefaultDrainPropagation is the upper bound of the time from the start of a
	// router's drain until no other router lists the draining router. The bound
	// also covers routers that are partitioned from the draining router.
	DefaultDrainPropagation = 4 * time.Second
	// MaxEntries is the maximum number of addresses in one answer.
	MaxEntries = 16
	// maxQueryBytes is the maximum total length of the customer, chat and model in
	// a query.
	maxQueryBytes = 512
)

// Entry is the address of one router for callers.
type Entry struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// Answer is the reply to a query: the entry addresses in order of preference.
type Answer struct {
	Entries []Entry `json:"entries"`
	// TTLMS is how long the caller may cache the answer, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// Config holds the settings and dependencies of a Handler.
type Config struct {
	View fleet.View
	// TTL is how long callers may cache an answer; zero means DefaultTTL.
	TTL time.Duration
	// DrainPropagation is the time that Handler.CachedUntil allows for a drain to
	// become known to the other routers; zero means DefaultDrainPropagation.
	DrainPropagation time.Duration
	// ChatKey returns the key of a customer's chat. It must return the key that
	// placement uses, so that both select the same owner. Nil means the function
	// ChatKey.
	ChatKey func(customer, chat string) string
	// Owner returns the id of the router that admits requests for a model and the
	// key of a chat, or an empty string if that router is unknown. Nil means that
	// it is always unknown.
	Owner func(model, key string) string
}

// Query describes the next requests of a caller. All fields are optional.
type Query struct {
	Customer string
	Chat     string
	// Model is the model that the caller will request. The router that admits
	// requests for the model is then listed first, which saves each request a call
	// between routers.
	Model string
}

// ChatKey returns the key of a chat whose requests carry a chat id header. A router uses
// the same key for such a request: package router prefixes the chat id with "id:", and
// package filter prefixes the result with the customer.
func ChatKey(customer, chat string) string { return customer + "/id:" + chat }

// Handler serves GET /v1/entries.
type Handler struct {
	view             fleet.View
	ttl              time.Duration
	drainPropagation time.Duration
	chatKey          func(customer, chat string) string
	owner            func(model, key string) string

	mu sync.Mutex
	// listedUntil is when the last answer that listed the local router expires.
	listedUntil time.Time
	draining    bool
}

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler {
	h := &Handler{view: cfg.View, ttl: cfg.TTL, drainPropagation: cfg.DrainPropagation, chatKey: cfg.ChatKey, owner: cfg.Owner}
	if h.ttl == 0 {
		h.ttl = DefaultTTL
	}
	if h.drainPropagation == 0 {
		h.drainPropagation = DefaultDrainPropagation
	}
	if h.chatKey == nil {
		h.chatKey = ChatKey
	}
	return h
}

// ServeHTTP answers a query with the entry addresses. If there are none, the
// status is 503 and the Retry-After header says when to retry. If the query is
// longer than maxQueryBytes, the status is 400.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	q := Query{Customer: values.Get("customer"), Chat: values.Get("chat"), Model: values.Get("model")}
	if len(q.Customer)+len(q.Chat)+len(q.Model) > maxQueryBytes {
		http.Error(w, fmt.Sprintf("customer, chat and model are longer than %d bytes", maxQueryBytes), http.StatusBadRequest)
		return
	}
	answer := h.Lookup(q)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if len(answer.Entries) == 0 {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// Lookup returns the entry addresses. The router that admits requests for the
// model comes first if it is known. If the query names a chat, rendezvous hashing
// orders the other routers, so that later requests of the chat arrive at the same
// router, which still has the state of the chat. Otherwise the other routers are in
// random order, with those of the local data centre first.
func (h *Handler) Lookup(q Query) *Answer {
	key := ""
	if q.Chat != "" {
		key = h.chatKey(q.Customer, q.Chat)
	}
	owner := ""
	if q.Model != "" && h.owner != nil {
		owner = h.owner(q.Model, key)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	serving := h.servingLocked()
	answer := &Answer{Entries: []Entry{}, TTLMS: h.ttl.Milliseconds()}
	self := h.view.Self().Id
	ranked := ownerFirst(owner, rank(key, serving, h.view.Self().DataCentre))
	for _, r := range ranked {
		if len(answer.Entries) == MaxEntries {
			break
		}
		if r.Id == self {
			h.listedUntil = time.Now().Add(h.ttl)
		}
		answer.Entries = append(answer.Entries, Entry{Addr: r.CallerAddr, DataCentre: r.DataCentre})
	}
	return answer
}

// servingLocked returns the routers that accept new work and have an address for
// callers. Draining routers and routers without a configuration lease do not accept
// new work.
func (h *Handler) servingLocked() []*pb.RouterStatus {
	var serving []*pb.RouterStatus
	self := h.view.Self().Id
	for _, r := range h.view.Routers() {
		if r.State != pb.RouterState_ROUTER_STATE_SERVING || r.CallerAddr == "" {
			continue
		}
		if r.Id == self && h.draining {
			continue
		}
		serving = append(serving, r)
	}
	return serving
}

// ownerFirst moves the router with the id owner to the front if routers contains
// it.
func ownerFirst(owner string, routers []*pb.RouterStatus) []*pb.RouterStatus {
	i := slices.IndexFunc(routers, func(r *pb.RouterStatus) bool { return r.Id == owner })
	if i <= 0 {
		return routers
	}
	ownerRouter := routers[i]
	copy(routers[1:i+1], routers[:i])
	routers[0] = ownerRouter
	return routers
}

// rank orders the routers by rendezvous hashing for key, or by localFirst if key
// is empty.
func rank(key string, routers []*pb.RouterStatus, dataCentre string) []*pb.RouterStatus {
	if key == "" {
		return localFirst(routers, dataCentre)
	}
	byID := make(map[string]*pb.RouterStatus, len(routers))
	ids := make([]string, 0, len(routers))
	for _, r := range routers {
		byID[r.Id] = r
		ids = append(ids, r.Id)
	}
	ranked := make([]*pb.RouterStatus, 0, len(routers))
	for _, id := range fleet.Rank(key, ids) {
		ranked = append(ranked, byID[id])
	}
	return ranked
}

// localFirst returns the routers in random order, with those of dataCentre first.
func localFirst(routers []*pb.RouterStatus, dataCentre string) []*pb.RouterStatus {
	var local, remote []*pb.RouterStatus
	for _, i := range rand.Perm(len(routers)) {
		if routers[i].DataCentre == dataCentre {
			local = append(local, routers[i])
		} else {
			remote = append(remote, routers[i])
		}
	}
	return append(local, remote...)
}

// StartDrain removes the local router from all further answers of this handler.
func (h *Handler) StartDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return
	}
	h.draining = true
	// Other routers list this router until they learn that it is draining.
	listedByOthers := time.Now().Add(h.drainPropagation + h.ttl)
	if listedByOthers.After(h.listedUntil) {
		h.listedUntil = listedByOthers
	}
}

// CachedUntil returns the time until which callers may cache an answer that
// lists the local router, or the zero time if there has been no such answer.
// After StartDrain the time also covers the answers of other routers and no longer
// increases.
func (h *Handler) CachedUntil() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listedUntil
}
