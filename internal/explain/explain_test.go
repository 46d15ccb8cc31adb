package explain

import (
	"fmt"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func TestStoreKeepsTheNewest(t *testing.T) {
	s := NewStore()
	for i := range maxStoredRequests + 1 {
		s.Observe(&filter.Record{RequestID: fmt.Sprint(i), Reasons: []filter.Reason{{Step: "placement", Target: "e1", Text: "home"}}})
	}
	if s.Find("0") != nil || len(s.index) != maxStoredRequests {
		t.Fatalf("the oldest is still there, %d remembered", len(s.index))
	}
	reply := s.Reply("r1", &pb.ExplainRequest{RequestId: fmt.Sprint(maxStoredRequests)})
	if !reply.Found || reply.Reasons[0].Target != "e1" || reply.Class != "check" {
		t.Fatalf("reply %v", reply)
	}
	if s.Reply("r1", &pb.ExplainRequest{RequestId: "0"}).Found {
		t.Fatal("a forgotten request was found")
	}
}

func TestAnIDSeenTwiceKeepsTheNewer(t *testing.T) {
	s := NewStore()
	s.Observe(&filter.Record{RequestID: "x", Status: 1})
	for i := range maxStoredRequests - 1 {
		s.Observe(&filter.Record{RequestID: fmt.Sprint(i)})
	}
	s.Observe(&filter.Record{RequestID: "x", Status: 2})
	if rec := s.Find("x"); rec == nil || rec.Status != 2 {
		t.Fatalf("found %v", rec)
	}
}
