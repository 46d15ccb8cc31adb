package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

var (
	marshalOptions   = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	unmarshalOptions = protojson.UnmarshalOptions{}
)

func writeProto(w http.ResponseWriter, status int, m proto.Message) {
	data, err := marshalOptions.Marshal(m)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "internal", err.Error(), nil)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readProto reads the body into m; it answers and returns false if it can't.
func readProto(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the bound", nil)
		return false
	}
	if err == nil {
		err = unmarshalOptions.Unmarshal(body, m)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error(), nil)
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status int, code, message string, cause error) {
	writeProto(w, status, &pb.AdminError{
		Code:    code,
		Message: message,
		Step:    errs.Step(cause),
		Peer:    errs.Peer(cause),
	})
}

// writeControlError answers for a failed call to the control replicas.
func writeControlError(w http.ResponseWriter, err error) {
	if transport.Status(err) == pb.CallStatus_CALL_STATUS_OUTCOME_UNKNOWN {
		writeError(w, http.StatusServiceUnavailable, "outcome-unknown",
			"the change may or may not be accepted: send it again with the same operation id: "+err.Error(), err)
		return
	}
	writeError(w, http.StatusServiceUnavailable, "control-unavailable", err.Error(), err)
}
