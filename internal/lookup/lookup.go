// Package lookup answers callers that ask which entries of the fleet to use.
// No balancer stands in front of the fleet: a caller asks any instance, keeps
// the answer for a while and connects to one of the addresses itself.
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
	// DefaultTTL is how long callers may keep an answer.
	DefaultTTL = 5 * time.Second
	// DefaultDrainPropagation bounds the time until no other router lists one that
	// began to drain, cut-off ones included.
	DefaultDrainPropagation = 4 * time.Second
	// MaxEntries bounds the addresses in one answer.
	MaxEntries = 16
	// maxQueryBytes bounds the customer and chat that a caller names.
	maxQueryBytes = 512
)

// Entry is one address for callers.
type Entry struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// Answer is what a caller gets: addresses, best first.
type Answer struct {
	Entries []Entry `json:"entries"`
	// TTLMS is how long the caller may keep the answer.
	TTLMS int64 `json:"ttl_ms"`
}

// Config sets up a handler.
type Config struct {
	View fleet.View
	// TTL and Spread default to DefaultTTL and DefaultSpread.
	TTL              time.Duration
	DrainPropagation time.Duration
	// ChatKey names a customer's chat as placement does, so that both agree
	// on its home; nil means ChatKey.
	ChatKey func(customer, chat string) string
	// Owner returns the router that admits for a model and the key of a chat, ""
	// if it isn't known; nil means that no home is known.
	Owner func(model, key string) string
}

// Query is what a caller tells of its next requests; all of it is optional.
type Query struct {
	Customer string
	Chat     string
	// Model has the router that admits for it named first, which saves each
	// request a call between routers.
	Model string
}

// ChatKey names a chat as the filter chain does for one with a chat id header.
func ChatKey(customer, chat string) string { return customer + "/id:" + chat }

// Handler serves GET /v1/entries.
type Handler struct {
	view             fleet.View
	ttl              time.Duration
	drainPropagation time.Duration
	chatKey          func(customer, chat string) string
	owner            func(model, key string) string

	mu sync.Mutex
	// listedUntil is the end of the last answer that listed this router.
	listedUntil time.Time
	draining    bool
}

// NewHandler makes a handler.
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

// ServeHTTP answers with the entries for the chat in the query, if there is
// one. The answer is never empty-handed without saying when to come back.
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

// Lookup returns the entries: first the router that admits for the model, if
// one is named, then by rendezvous for the chat, so that its later requests
// meet a router that remembers it. Without a chat they come in random order,
// those of this data centre first.
func (h *Handler) Lookup(q Query) *Answer {
	key := ""
	if q.Chat != "" {
		key = h.chatKey(q.Customer, q.Chat)
	}
	home := ""
	if q.Model != "" && h.owner != nil {
		home = h.owner(q.Model, key)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	serving := h.servingLocked()
	answer := &Answer{Entries: []Entry{}, TTLMS: h.ttl.Milliseconds()}
	self := h.view.Self().Id
	ranked := ownerFirst(home, rank(key, serving, h.view.Self().DataCentre))
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

// servingLocked returns the routers that take new work: draining ones and
// those without a configuration lease do not.
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

// ownerFirst moves the router with this id to the front, if it is among them.
func ownerFirst(home string, routers []*pb.RouterStatus) []*pb.RouterStatus {
	i := slices.IndexFunc(routers, func(r *pb.RouterStatus) bool { return r.Id == home })
	if i <= 0 {
		return routers
	}
	first := routers[i]
	copy(routers[1:i+1], routers[:i])
	routers[0] = first
	return routers
}

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

func localFirst(routers []*pb.RouterStatus, dataCentre string) []*pb.RouterStatus {
	var near, far []*pb.RouterStatus
	for _, i := range rand.Perm(len(routers)) {
		if routers[i].DataCentre == dataCentre {
			near = append(near, routers[i])
		} else {
			far = append(far, routers[i])
		}
	}
	return append(near, far...)
}

// StartDrain takes this router out of its own answers.
func (h *Handler) StartDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return
	}
	h.draining = true
	// Others list this router until they hear that it drains.
	others := time.Now().Add(h.drainPropagation + h.ttl)
	if others.After(h.listedUntil) {
		h.listedUntil = others
	}
}

// CachedUntil returns until when callers may keep an answer that lists this
// router; the zero time if none was given. After StartDrain it covers the
// answers of other routers too and doesn't grow any more.
func (h *Handler) CachedUntil() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listedUntil
}
