package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1000
)

// applyChange commits an operator's change and then waits until the change is in force
// on all routers, for at most wait_ms milliseconds.
func (s *server) applyChange(w http.ResponseWriter, r *http.Request) {
	change := &pb.ConfigChange{}
	if !readProto(w, r, change) {
		return
	}
	wait, ok := parseWait(w, r)
	if !ok {
		return
	}
	cmd := &pb.Command{Body: &pb.Command_Change{Change: change}}
	reply, err := s.Control.Submit(r.Context(), cmd)
	if err != nil {
		writeControlError(w, err)
		return
	}
	result := reply.GetResult().GetChange()
	s.Logger.Info().Str("step", "change").Str("operator", change.Operator).Str("operation", change.OperationId).
		Str("status", result.GetStatus().String()).Uint64("revision", result.GetRevision()).Msg("the control replicas decided on an operator's change")
	answer := &pb.ChangeAnswer{Result: result}
	if result.GetStatus() != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		writeProto(w, rejectionStatus(result.GetStatus()), answer)
		return
	}
	s.awaitInForce(r.Context(), wait, answer)
	writeProto(w, http.StatusOK, answer)
}

// rejectionStatus returns the HTTP status for a change that was not accepted.
func rejectionStatus(status pb.ChangeStatus) int {
	if status == pb.ChangeStatus_CHANGE_STATUS_INVALID {
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

// parseWait returns the wait_ms parameter of r, or zero if it is absent. If the
// parameter is invalid, parseWait writes an error response and returns false.
func parseWait(w http.ResponseWriter, r *http.Request) (time.Duration, bool) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, true
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || wait > maxWait {
		writeError(w, http.StatusBadRequest, "bad-wait", "wait_ms is not a number of milliseconds up to "+maxWait.String(), nil)
		return 0, false
	}
	return wait, true
}

// awaitInForce waits until the accepted change is in force on all routers, at
// most for wait, and records the outcome in answer.
func (s *server) awaitInForce(ctx context.Context, wait time.Duration, answer *pb.ChangeAnswer) {
	if wait == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := s.Control.InForce(ctx, answer.Result.Revision)
	if err != nil {
		// The change is already accepted, so the response has no error. It only does not
		// say which routers have applied the change.
		s.Logger.Warn().Err(err).Str("step", "in-force").Uint64("revision", answer.Result.Revision).Msg("querying whether the change is in force failed")
		return
	}
	answer.InForce = reply.InForce
	answer.Waiting = reply.Waiting
}

func (s *server) getContracts(w http.ResponseWriter, r *http.Request) {
	s.forwardQuery(w, r, &pb.QueryRequest{
		What: pb.QueryRequest_WHAT_CONTRACTS,
		Name: r.URL.Query().Get("customer"),
	})
}

func (s *server) getHistory(w http.ResponseWriter, r *http.Request) {
	limit := uint64(defaultHistoryLimit)
	if text := r.URL.Query().Get("limit"); text != "" {
		var err error
		limit, err = strconv.ParseUint(text, 10, 32)
		if err != nil || limit == 0 || limit > maxHistoryLimit {
			writeError(w, http.StatusBadRequest, "bad-limit", "limit is not a number from 1 to "+strconv.Itoa(maxHistoryLimit), nil)
			return
		}
	}
	s.forwardQuery(w, r, &pb.QueryRequest{
		What:  pb.QueryRequest_WHAT_HISTORY,
		Name:  r.URL.Query().Get("name"),
		Limit: uint32(limit),
	})
}
