package router

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// FuzzCaller sends arbitrary requests. Each answer other than 200 must name an
// outcome, and no request with the outcome not-run may have reached a target.
func FuzzCaller(f *testing.F) {
	f.Add("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 56\r\n\r\n" + plainChat)
	f.Add("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Chat-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n")
	f.Add("GET /v1/services/lab/a%2e%2e/b?x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nX-Timeout-Ms: 5\r\nX-Priority: note\r\n\r\n")
	f.Add("POST /v1/services/lab HTTP/1.1\r\nHost: x\r\nAuthorization: bearer " + testKey + "\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
	f.Add("HEAD //v1/services//%zz HTTP/1.0\r\n\r\n")
	runs := 0
	addr := target(f, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		io.WriteString(w, "ok")
	})
	t := service("s1", addr)
	t.Models = []string{"m"}
	h := newHarness(f, t)
	f.Fuzz(func(t *testing.T, raw string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil || !strings.HasPrefix(req.URL.Path, "/v1/") {
			return
		}
		before := runs
		rec := httptest.NewRecorder()
		h.router.Handler().ServeHTTP(rec, req)
		outcome := rec.Header().Get(headerOutcome)
		if outcome == "" && rec.Code != http.StatusOK {
			t.Errorf("status %d without an outcome", rec.Code)
		}
		if ran := runs > before; ran && outcome == "not-run" {
			t.Errorf("%q was run although its outcome is not-run", raw)
		}
	})
}

// FuzzPath checks that no path counts as idempotent by a declared route but is
// resolved by a target to a path outside of that route.
func FuzzPath(f *testing.F) {
	f.Add("/v1/services/lab/book")
	f.Add("/v1/services/lab/lookup/%2e%2e/book")
	f.Add("/v1/services/lab//lookup/..%2fbook")
	f.Add(`/v1/services/lab/lookup/..%5cbook`)
	f.Fuzz(func(t *testing.T, raw string) {
		u, err := url.ParseRequestURI(raw)
		if err != nil || !strings.HasPrefix(u.Path, servicesPrefix) {
			return
		}
		r := &Router{ids: newIDSource()}
		req := &http.Request{Method: "POST", URL: u}
		x := r.newExchange(req)
		x.Demand.Service = "lab"
		if setPath(req, x) != nil {
			return
		}
		routes := []*pb.Route{{PathPrefix: "/lookup", Idempotent: true}}
		resolved := path.Clean(strings.ReplaceAll(x.Path, `\`, "/"))
		if idempotentAt(service("s", "", routes...), x) && !strings.HasPrefix(resolved, "/lookup") {
			t.Errorf("%q counts as idempotent and resolves to %q", raw, resolved)
		}
	})
}

// FuzzChat checks that the prefix hash of a chat does not change when turns are added, and
// that it does not depend on how the messages are decoded.
func FuzzChat(f *testing.F) {
	f.Add([]byte(plainChat))
	f.Add([]byte(`{"model":"m","max_tokens":9,"messages":[{"role":"system","content":[{"type":"text"}]},{"role":"user"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err != nil {
			return
		}
		var list struct{ Messages []chatMessage }
		if err := json.Unmarshal(body, &list); err != nil || len(list.Messages) != c.Messages.count {
			t.Fatalf("%q: %d messages, %v, want %d", body, len(list.Messages), err, c.Messages.count)
		}
		users := 0
		for _, m := range list.Messages {
			if m.Role == "user" {
				users++
			}
		}
		same, err := parseChat(chatText(t, c.Model, list.Messages))
		if err != nil || same.prefixHash() != c.prefixHash() {
			t.Errorf("the messages of %q have another prefix hash, %v", body, err)
		}
		next := append(list.Messages, chatMessage{Role: "assistant", Content: body}, chatMessage{Role: "user"})
		grown, err := parseChat(chatText(t, c.Model, next))
		if err != nil || users > 0 && grown.prefixHash() != c.prefixHash() {
			t.Errorf("the next turn of %q has another prefix hash, %v", body, err)
		}
	})
}

// chatText returns a chat with the contents of its messages byte by byte.
func chatText(t *testing.T, model string, messages []chatMessage) []byte {
	text := func(value string) string {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded)
	}
	out := []byte(`{"model":` + text(model) + `,"messages":[`)
	for i, m := range messages {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, `{"role":`+text(m.Role)...)
		if m.Content != nil {
			out = append(append(out, `,"content":`...), m.Content...)
		}
		out = append(out, '}')
	}
	return append(out, "]}"...)
}
