package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ServiceConfig sets how a stand-in service behaves.
type ServiceConfig struct {
	ID string
	// Delay is how long each call takes.
	Delay time.Duration
}

// Service is a stand-in for a plain service: filings that must not repeat and
// lookups that may.
type Service struct {
	cfg    ServiceConfig
	orders orderHandler

	mu      sync.Mutex
	running int
	filings []Filing
}

// Filing is one non-idempotent request that the service ran.
type Filing struct {
	Number    int    `json:"number"`
	Service   string `json:"service_id"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Body      string `json:"body"`
}

// NewService makes a service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, orders: orderHandler{state: OrderState{Desired: "serve"}}}
}

// Routes declares which of the service's routes are idempotent.
func (s *Service) Routes() []*pb.Route {
	return []*pb.Route{
		{Method: http.MethodPost, PathPrefix: "/filings", Idempotent: false},
		{Method: http.MethodPost, PathPrefix: "/search", Idempotent: true},
	}
}

// Handler serves the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/filings", s.createFiling).Methods(http.MethodPost)
	r.HandleFunc("/filings", s.listFilings).Methods(http.MethodGet)
	r.HandleFunc("/search", s.listFilings).Methods(http.MethodPost)
	s.orders.register(r)
	return r
}

// Load reports the calls that run now.
func (s *Service) Load() *pb.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &pb.Load{Running: uint32(s.running)}
}

// Filings returns the filings that were run.
func (s *Service) Filings() []Filing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Filing{}, s.filings...)
}

func (s *Service) createFiling(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	filing := s.startFiling(r, string(body))
	time.Sleep(s.cfg.Delay)
	s.finishFiling()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	writeJSON(w, http.StatusCreated, filing)
}

func (s *Service) startFiling(r *http.Request, body string) Filing {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	filing := Filing{
		Number:    len(s.filings) + 1,
		Service:   s.cfg.ID,
		RequestID: r.Header.Get("X-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		Body:      body,
	}
	s.filings = append(s.filings, filing)
	return filing
}

func (s *Service) finishFiling() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

func (s *Service) listFilings(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Filings())
}
