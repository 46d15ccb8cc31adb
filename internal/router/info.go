package router

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// modelList is the published format of GET /v1/models.
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

// serveModels serves GET /v1/models: what targets here offer and the caller's
// contract permits.
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
	// A failed write concerns the caller only.
	_ = json.NewEncoder(w).Encode(list)
}

// models returns the models that targets here offer, sorted.
func (r *Router) models() []string {
	var ids []string
	for _, t := range r.cfg.View.Targets() {
		ids = append(ids, t.GetModels()...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// serveHealth tells that the process serves HTTP.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// serveReady tells whether new requests are welcome here.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if problem := r.notReadyReason(); problem != "" {
		http.Error(w, problem, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReadyReason says why new requests are not welcome, "" if they are.
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
