package admin

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func (s *server) explainRequest(w http.ResponseWriter, r *http.Request) {
	found, unreachable := s.Explain(r.Context(), mux.Vars(r)["id"])
	if found != nil {
		writeProto(w, http.StatusOK, found)
		return
	}
	message := "no router remembers this request"
	if len(unreachable) > 0 {
		message += "; no answer from " + strings.Join(unreachable, ", ")
	}
	writeError(w, http.StatusNotFound, "not-found", message, nil)
}

func (s *server) explainTarget(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	row := &pb.TargetRow{Status: s.View.Target(id), Intent: s.ConfigView.Intent(id)}
	if row.Status == nil && row.Intent == nil {
		writeError(w, http.StatusNotFound, "not-found", "no such target: this router holds neither an unexpired announcement nor an intent for it", nil)
		return
	}
	writeProto(w, http.StatusOK, row)
}

func (s *server) explainRevision(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(mux.Vars(r)["number"], 10, 64)
	if err != nil || number == 0 {
		writeError(w, http.StatusBadRequest, "bad-revision", "the revision is not a positive integer", nil)
		return
	}
	history, err := s.Control.Query(r.Context(), &pb.QueryRequest{What: pb.QueryRequest_WHAT_HISTORY, Limit: 1, Revision: number})
	if err != nil {
		writeControlError(w, err)
		return
	}
	if len(history.History) == 0 {
		writeError(w, http.StatusNotFound, "not-found", "the kept history has no such revision", nil)
		return
	}
	out := &pb.RevisionExplained{Record: history.History[0]}
	holds, err := s.Control.Query(r.Context(), &pb.QueryRequest{What: pb.QueryRequest_WHAT_ROUTERS})
	if err != nil {
		writeControlError(w, err)
		return
	}
	out.Holds = holds.Routers
	writeProto(w, http.StatusOK, out)
}
