package explain

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Method is the name of the call between instances.
const Method = "report.explain"

// searchTimeout bounds the whole search.
const searchTimeout = 3 * time.Second

var classNames = map[filter.Class]string{
	filter.ClassCheck: "check",
	filter.ClassNote:  "note",
	filter.ClassDraft: "draft",
}

// Reply looks a request up in this router's store.
func (s *Store) Reply(router string, req *pb.ExplainRequest) *pb.ExplainReply {
	rec := s.Find(req.RequestId)
	if rec == nil {
		return &pb.ExplainReply{Router: router}
	}
	reply := &pb.ExplainReply{
		Found:        true,
		Router:       router,
		RequestId:    rec.RequestID,
		Customer:     rec.Customer,
		Class:        classNames[rec.Class],
		Chat:         rec.Chat,
		Model:        rec.Model,
		Service:      rec.Service,
		StartUnixMs:  rec.Start.UnixMilli(),
		FirstTokenUs: uint32(rec.FirstToken.Microseconds()),
		TotalUs:      uint64(rec.Total.Microseconds()),
		Status:       uint32(rec.Status),
		Outcome:      string(rec.Outcome),
		Refused:      rec.Refused,
		Whole:        rec.Complete,
		Target:       rec.Target,
		Tries:        uint32(rec.Tries),
		Revision:     rec.Revision,
	}
	for _, reason := range rec.Reasons {
		reply.Reasons = append(reply.Reasons, &pb.ExplainReason{Step: reason.Step, Target: reason.Target, Text: reason.Text})
	}
	return reply
}

// PeerClient makes calls to other instances; transport.Pool is one.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// Find asks all routers for a request. It returns nil if none remembers it,
// and the routers that did not answer.
func Find(ctx context.Context, view fleet.View, caller PeerClient, requestID string) (found *pb.ExplainReply, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var mu sync.Mutex
	fleet.ForEach(view.Routers(), func(_ int, r *pb.RouterStatus) {
		reply := &pb.ExplainReply{}
		err := caller.Call(ctx, r.PeerAddr, Method, &pb.ExplainRequest{RequestId: requestID}, reply)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
			silent = append(silent, r.Id)
		case reply.Found:
			found = reply
		}
	})
	return found, silent
}
