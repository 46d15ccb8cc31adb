package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	plainChat   = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamChat  = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	completeSSE = "data: {\"a\":1}\n\ndata: [DONE]\n\n"
)

// target serves h on loopback and returns its address.
func target(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// chatEngine answers chats plain or streamed.
func chatEngine(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	w.Header().Set(headerRequestID, req.Header.Get(headerRequestID))
	if !strings.Contains(string(body), `"stream":true`) {
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `{"choices":[],"usage":{"total_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range strings.SplitAfter(completeSSE, "\n\n") {
		io.WriteString(w, event)
		w.(http.Flusher).Flush()
	}
}

func TestChat(t *testing.T) {
	b := newHarness(t, engine("e1", target(t, chatEngine)))
	for _, body := range []string{plainChat, streamChat} {
		resp, got, err := b.do(t, "POST", "/v1/chat/completions", body)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v %s", resp, err, got)
		}
		if resp.Header.Get(headerOutcome) != "run" || resp.Header.Get(headerRequestID) == "" {
			t.Errorf("headers %v", resp.Header)
		}
		if body == streamChat && got != completeSSE {
			t.Errorf("stream %q", got)
		}
	}
	if r := b.recorded()[1]; r.Target != "e1" || !r.Complete || r.Chat == "" || r.Customer != "acme" {
		t.Errorf("record %+v", r)
	}
}

// TestCallerLeaves checks that the engine is told when a caller goes away, at
// each point of an answer.
func TestCallerLeaves(t *testing.T) {
	for _, begun := range []bool{false, true} {
		arrived, cancelled := make(chan struct{}), make(chan struct{})
		b := newHarness(t, engine("e1", target(t, func(w http.ResponseWriter, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			if begun {
				w.Header().Set("Content-Type", "text/event-stream")
				io.WriteString(w, "data: {}\n\n")
				w.(http.Flusher).Flush()
			}
			close(arrived)
			<-req.Context().Done()
			close(cancelled)
		})))
		c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(streamChat), streamChat)
		<-arrived
		c.Close()
		<-cancelled
	}
}

func TestServiceClaimedOnce(t *testing.T) {
	var runs atomic.Int64
	addr := target(t, func(w http.ResponseWriter, req *http.Request) {
		n := runs.Add(1)
		if req.URL.RequestURI() != "/book/a%2Fb?x=1" || req.Header.Get("Authorization") != "" {
			t.Errorf("target got %s %v", req.URL.RequestURI(), req.Header)
		}
		w.Header().Set("X-Number", "4")
		w.WriteHeader(201)
		fmt.Fprintf(w, "booking %d", n)
	})
	b := newHarness(t, service("s1", addr))
	for i := range 2 {
		resp, got, err := b.do(t, "POST", "/v1/services/lab/book/a%2Fb?x=1", "steel", "Idempotency-Key", "k1")
		if err != nil || resp.StatusCode != 201 || got != "booking 1" || resp.Header.Get("X-Number") != "4" {
			t.Fatalf("try %d: %v %v %q", i, resp, err, got)
		}
		if replayed := resp.Header.Get(headerReplayed) == "true"; replayed != (i == 1) {
			t.Errorf("try %d: replayed %v", i, replayed)
		}
	}
	resp, got, _ := b.do(t, "POST", "/v1/services/lab/book/a%2Fb?x=1", "wire", "Idempotency-Key", "k1")
	if resp.StatusCode != 422 || resp.Header.Get(headerOutcome) != "not-run" {
		t.Errorf("reused key: %v %s", resp, got)
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
}

// TestClaimedPastDeadline answers the caller of a claimed request at its
// deadline; the request goes on and its answer is found under the key.
func TestClaimedPastDeadline(t *testing.T) {
	release := make(chan struct{})
	b := newHarness(t, service("s1", target(t, func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		<-release
		io.WriteString(w, "booked")
	})))
	post := func(header ...string) (*http.Response, string, error) {
		return b.do(t, "POST", "/v1/services/lab/book", "steel", append(header, "Idempotency-Key", "k")...)
	}
	resp, body, err := post("X-Timeout-Ms", "50")
	if err != nil || resp.StatusCode != 504 || !strings.Contains(body, `"deadline"`) || resp.Header.Get(headerOutcome) != "unknown" {
		t.Errorf("at the deadline: %v %v %s", resp, err, body)
	}
	if resp, body, _ := post(); resp.StatusCode != 409 || !strings.Contains(body, "in-progress") {
		t.Errorf("meanwhile: %v %s", resp, body)
	}
	close(release)
	b.router.claim.Wait()
	if resp, body, _ := post(); resp.StatusCode != 200 || body != "booked" {
		t.Errorf("later: %v %s", resp, body)
	}
	if got := b.recorded(); len(got) != 4 || got[0].Outcome != "unknown" || got[2].Outcome != "run" || got[2].RequestID != got[0].RequestID {
		t.Errorf("%d records, the first %+v", len(got), got[0])
	}
}
