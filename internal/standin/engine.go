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

// EngineConfig sets how a stand-in engine behaves.
type EngineConfig struct {
	ID     string
	Models []string
	// Capacity is the number of requests that run at once.
	Capacity int
	// PrefillDelay is the time to the first token of a prompt not held.
	PrefillDelay time.Duration
	// TokenDelay is the time between tokens.
	TokenDelay time.Duration
	// CacheChats bounds the chats whose prefix is held.
	CacheChats int
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool
}

const (
	defaultCompletionTokens = 16
	maxCompletionTokens     = 4096
	maxRequestBytes         = 16 << 20
	// cachedPrefillDivisor is how much of the prefill a held prefix still costs.
	cachedPrefillDivisor = 10
)

// Engine is a stand-in model engine.
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

// NewEngine makes an engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Capacity = max(1, cfg.Capacity)
	return &Engine{
		cfg:    cfg,
		orders: orderHandler{checksFencing: cfg.ChecksFencing, state: OrderState{Desired: "serve", Models: cfg.Models}},
		slots:  make(chan struct{}, cfg.Capacity),
		cache:  newPrefixCache(max(1, cfg.CacheChats)),
	}
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	e.orders.register(r)
	return r
}

// Load reports the requests that run and wait now.
func (e *Engine) Load() *pb.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &pb.Load{Running: uint32(e.running), Waiting: uint32(e.waiting)}
}

// Started returns the number of completions begun.
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

func (e *Engine) addCount(n *int, by int) {
	e.mu.Lock()
	*n += by
	e.mu.Unlock()
}

// generatedAnswer is one completion to be sent.
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

const bytesPerToken = 4

// sleep waits d or until the request ends; it tells whether the wait was whole.
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

// tokenLimiter spaces the tokens of one answer.
func (e *Engine) tokenLimiter() *rate.Limiter {
	if e.cfg.TokenDelay <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Every(e.cfg.TokenDelay), 1)
}
