package filter

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Limits of stored answers, in bytes.
const (
	// MaxStoredBody is the largest body that the ledger stores.
	MaxStoredBody = 12 << 10
	// MaxStoredHeader bounds the total size of the names and values of the stored
	// headers.
	MaxStoredHeader = 4 << 10
)

// unstoredHeaders belong to a single transmission of an answer and are not stored.
var unstoredHeaders = map[string]bool{
	"Date": true, "Content-Length": true, "X-Request-Id": true, "Set-Cookie": true,
}

// storedAnswer returns the ledger's form of an answer. complete is set if body is the
// full body. A body that is incomplete or too large is left out, and the answer is
// marked as truncated. Headers beyond MaxStoredHeader are left out.
func storedAnswer(a *Answer, body []byte, complete bool) *pb.StoredAnswer {
	s := &pb.StoredAnswer{Status: uint32(a.Status), Body: body}
	if !complete || len(body) > MaxStoredBody {
		s.Body = nil
		s.Truncated = true
	}
	room := MaxStoredHeader
	for name, values := range a.Header {
		if unstoredHeaders[name] {
			continue
		}
		for _, value := range values {
			room -= len(name) + len(value)
			if room < 0 {
				return s
			}
			s.Headers = append(s.Headers, &pb.Header{Name: name, Value: value})
		}
	}
	return s
}

// replay sets the answer that the ledger stored, or rejects the request if the answer
// was too large to store.
func replay(x *Exchange, result *pb.ClaimResult) error {
	s := result.GetAnswer()
	if s == nil || s.GetTruncated() {
		return WithLedgerOutcome(Rejection{
			Status:  http.StatusConflict,
			Code:    "answer-not-stored",
			Message: fmt.Sprintf("the request was run with status %d; its answer was too large to store", s.GetStatus()),
			Step:    StepClaim,
		}, true)
	}
	header := make(http.Header, len(s.GetHeaders()))
	for _, h := range s.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	x.Answer = &Answer{
		Status:   int(s.GetStatus()),
		Header:   header,
		Length:   int64(len(s.GetBody())),
		Framed:   true,
		Body:     io.NopCloser(bytes.NewReader(s.GetBody())),
		Events:   strings.HasPrefix(header.Get("Content-Type"), "text/event-stream"),
		Replayed: true,
	}
	return nil
}
