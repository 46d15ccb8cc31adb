package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/gorilla/mux"
)

// Fencing is the number that an order carries; it grows by term, then index.
type Fencing struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

func (f Fencing) less(g Fencing) bool {
	return f.Term < g.Term || (f.Term == g.Term && f.Index < g.Index)
}

// OrderState is what a target was last ordered to be.
type OrderState struct {
	Operation string   `json:"operation,omitempty"`
	Desired   string   `json:"desired"`
	Models    []string `json:"models,omitempty"`
	Role      string   `json:"role,omitempty"`
	Fencing   Fencing  `json:"fencing"`
}

// orderHandler takes orders and keeps the state that they ask for.
type orderHandler struct {
	checksFencing bool

	mu       sync.Mutex
	state    OrderState
	accepted int
}

func (o *orderHandler) register(r *mux.Router) {
	r.HandleFunc("/control/v1/order", o.putOrder).Methods(http.MethodPut)
	r.HandleFunc("/control/v1/state", o.getState).Methods(http.MethodGet)
}

func (o *orderHandler) putOrder(w http.ResponseWriter, r *http.Request) {
	var order OrderState
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&order); err != nil {
		http.Error(w, "malformed order: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !slices.Contains([]string{"serve", "drain", "stop"}, order.Desired) {
		http.Error(w, "desired is not serve, drain or stop", http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFencing && order.Fencing.less(o.state.Fencing) {
		writeJSON(w, http.StatusConflict, o.state)
		return
	}
	if len(order.Models) == 0 {
		order.Models = o.state.Models
	}
	o.state = order
	o.accepted++
	writeJSON(w, http.StatusOK, o.state)
}

func (o *orderHandler) getState(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	writeJSON(w, http.StatusOK, o.state)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
