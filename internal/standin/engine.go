package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	ID     string
	Models []string
	// Capacity is the number of requests that run concurrently.
	Capacity int
	// PrefillDelay is the time to the first token if the prefix is not cached. A cached
	// prefix divides it by cachedPrefillDivisor.
	PrefillDelay time.Duration
	// TokenDelay is the time between tokens.
	TokenDelay time.Duration
	// CacheChats is the number of chats whose prefix is cached.
	CacheChats int
	// ChecksFencing is set if the engine rejects orders with an old fencing number.
	ChecksFencing bool
}

const (
	defaultCompletionTokens = 16
	maxCompletionTokens     = 4096
	maxRequestBytes         = 16 << 20
	// cachedPrefillDivisor divides the prefill delay if the prefix is cached.
	cachedPrefillDivisor = 10
)

// Engine is a stand-in for a model engine with a bounded number of slots, a queue and
// a prefix cache.
type Engine struct {
	cfg    EngineConfig
	orders orderHandler
	slots  chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	cache   *prefixCache
	started int
}

// NewEngine returns an engine with at least one slot and one cache entry.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Capacity = max(1, cfg.Capacity)
	return &Engine{
		cfg:    cfg,
		orders: orderHandler{checksFencing: cfg.ChecksFencing, state: OrderState{Desired: "serve", Models: cfg.Models}},
		slots:  make(chan struct{}, cfg.Capacity),
		cache:  newPrefixCache(max(1, cfg.CacheChats)),
	}
}

// Handler returns the handler of the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	e.orders.register(r)
	return r
}

// Load returns the numbers of running and waiting requests.
func (e *Engine) Load() *pb.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &pb.Load{Running: uint32(e.running), Waiting: uint32(e.waiting)}
}

// Started returns the number of completions started.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		http.Error(w, "malformed request: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(req.Messages) == 0 {
		http.Error(w, "messages is empty", http.StatusBadRequest)
		return
	}
	if !e.acquireSlot(r) {
		return
	}
	defer e.releaseSlot()
	cached := e.cache.touch(chatPrefixKey(req))
	if !sleep(r, e.prefillDelay(cached)) {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	a := e.generate(req, cached)
	if req.Stream {
		e.streamCompletion(w, r, a)
		return
	}
	e.writeCompletion(w, r, a)
}

func (e *Engine) prefillDelay(cached bool) time.Duration {
	if cached {
		return e.cfg.PrefillDelay / cachedPrefillDivisor
	}
	return e.cfg.PrefillDelay
}

// acquireSlot waits for a slot and reports whether it got one before the request
// ended.
func (e *Engine) acquireSlot(r *http.Request) bool {
	e.addCount(&e.waiting, 1)
	defer e.addCount(&e.waiting, -1)
	select {
	case e.slots <- struct{}{}:
		e.addCount(&e.running, 1)
		e.addCount(&e.started, 1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) releaseSlot() {
	e.addCount(&e.running, -1)
	<-e.slots
}

func (e *Engine) addCount(counter *int, delta int) {
	e.mu.Lock()
	*counter += delta
	e.mu.Unlock()
}

// generatedAnswer is the content of one completion; each word counts as a token.
type generatedAnswer struct {
	id           string
	model        string
	words        []string
	promptTokens int
	cachedTokens int
}

func (e *Engine) generate(req chatRequest, cached bool) generatedAnswer {
	tokens := min(cmp.Or(req.MaxTokens, defaultCompletionTokens), maxCompletionTokens)
	last := req.Messages[len(req.Messages)-1].Content
	a := generatedAnswer{id: fmt.Sprintf("chatcmpl-%s-%d", e.cfg.ID, e.Started()), model: req.Model}
	a.words = append(a.words, fmt.Sprintf("%s answers %q:", e.cfg.ID, last))
	for i := 1; i < tokens; i++ {
		a.words = append(a.words, fmt.Sprintf(" word%d", i))
	}
	for _, m := range req.Messages {
		a.promptTokens += 1 + len(m.Content)/bytesPerToken
	}
	if cached {
		a.cachedTokens = a.promptTokens
	}
	return a
}

// bytesPerToken is the assumed length of a token in prompts.
const bytesPerToken = 4

// sleep waits for d and reports whether d passed before the request ended.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// tokenLimiter returns a limiter that spaces the tokens of one answer by TokenDelay.
func (e *Engine) tokenLimiter() *rate.Limiter {
	if e.cfg.TokenDelay <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Every(e.cfg.TokenDelay), 1)
}
