package admin

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Quarantine lists and lifts the holds on parts of prompts that crash engines.
type Quarantine interface {
	// HeldParts returns the parts that this router holds.
	HeldParts() *pb.HeldParts
	// LiftPart ends the hold on a part at all routers. It reports whether the part was
	// held at this router.
	LiftPart(part string) bool
}

func (s *server) registerQuarantine(r *mux.Router) {
	r.HandleFunc("/quarantine", s.getHeldParts).Methods(http.MethodGet)
	r.HandleFunc("/quarantine/lift", s.liftPart).Methods(http.MethodPost).Queries("part", "{part}")
}

func (s *server) getHeldParts(w http.ResponseWriter, r *http.Request) {
	if s.Quarantine == nil {
		writeNoRouter(w)
		return
	}
	writeProto(w, http.StatusOK, s.Quarantine.HeldParts())
}

// liftPart lifts a hold. Its reply lists the parts that are still held.
func (s *server) liftPart(w http.ResponseWriter, r *http.Request) {
	if s.Quarantine == nil {
		writeNoRouter(w)
		return
	}
	if !s.Quarantine.LiftPart(mux.Vars(r)["part"]) {
		writeError(w, http.StatusNotFound, "not-held", "this router holds no such part", nil)
		return
	}
	writeProto(w, http.StatusOK, s.Quarantine.HeldParts())
}

func writeNoRouter(w http.ResponseWriter) {
	writeError(w, http.StatusNotFound, "no-router", "this instance serves no callers; ask a router", nil)
}
