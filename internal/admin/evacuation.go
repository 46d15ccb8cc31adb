package admin

import (
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func (s *server) getEvacuations(w http.ResponseWriter, r *http.Request) {
	set := s.Evacuations()
	if set == nil {
		set = &pb.Evacuations{}
	}
	writeProto(w, http.StatusOK, set)
}

// setEvacuation commits an order that starts or ends the evacuation of a data centre. An
// order that is repeated changes nothing, so it needs no operation id.
func (s *server) setEvacuation(w http.ResponseWriter, r *http.Request) {
	order := &pb.SetEvacuation{}
	if !readProto(w, r, order) {
		return
	}
	if old := control.ReplicaWithoutEvacuation(s.View.Routers()); old != nil {
		writeError(w, http.StatusServiceUnavailable, "unsupported", "the replica "+old.Id+" runs a build without evacuations", nil)
		return
	}
	start := time.Now()
	reply, err := s.Control.Submit(r.Context(), &pb.Command{Body: &pb.Command_SetEvacuation{SetEvacuation: order}})
	result := reply.GetResult().GetSetEvacuation()
	e := s.Logger.Info()
	if err != nil {
		e = s.Logger.Warn().Err(err)
	}
	e.Str("step", "evacuation").Str("operator", order.Operator).Str("data_centre", order.DataCentre).
		Bool("evacuated", order.Evacuated).Uint64("revision", result.GetRevision()).Bool("changed", result.GetChanged()).
		Int64("took_ms", time.Since(start).Milliseconds()).Msg("an evacuation was ordered")
	switch {
	case err != nil:
		writeControlError(w, err)
	case result == nil:
		writeError(w, http.StatusServiceUnavailable, "unsupported", "the leader runs a build without evacuations", nil)
	case result.Invalid != "":
		writeError(w, http.StatusUnprocessableEntity, "invalid", result.Invalid, nil)
	default:
		writeProto(w, http.StatusOK, result)
	}
}
