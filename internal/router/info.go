package router

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// modelList is the response of GET /v1/models in the chat-completions API.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves GET /v1/models: the models that are offered by a target that
// this router knows and permitted by the caller's contract.
func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	if err := r.lease.Check(x, filter.StepLease); err != nil {
		r.refuse(w, req, x, err)
		return
	}
	contract, err := r.identify.Contract(x)
	if err != nil {
		r.refuse(w, req, x, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, id := range r.models() {
		if filter.Permits(contract, id, "") {
			list.Data = append(list.Data, model{ID: id, Object: "model", OwnedBy: "wigeonwood"})
		}
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set(headerRequestID, x.ID)
	// A failed write affects only this caller.
	_ = json.NewEncoder(w).Encode(list)
}

// models returns the sorted models of the targets that this router knows.
func (r *Router) models() []string {
	var ids []string
	for _, t := range r.cfg.View.Targets() {
		ids = append(ids, t.GetModels()...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// serveHealth serves /healthz: any response shows that the process is live.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// serveReady serves /readyz: status 200 if this router accepts new requests,
// otherwise 503 with the reason.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if problem := r.notReadyReason(); problem != "" {
		http.Error(w, problem, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReadyReason returns why this router accepts no new requests, or "" if it
// does.
func (r *Router) notReadyReason() string {
	if r.drain.IsSet() {
		return "draining"
	}
	_, until, ok := r.cfg.Config.Lease()
	if !ok || !time.Now().Before(until) {
		return "no configuration lease"
	}
	return ""
}
