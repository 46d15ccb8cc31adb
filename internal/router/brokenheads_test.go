package router

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// brokenHeads holds, by name, the status line and the first fields of responses that are not
// answers of a target.
var brokenHeads = map[string]string{
	"status 000": "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n",
	"status 099": "HTTP/1.1 099 Trouble\r\nContent-Length: 5\r\n",
	"status 600": "HTTP/1.1 600 Trouble\r\nContent-Length: 5\r\n",

	"blank in a name":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Trouble: 1\r\n",
	"blank after a length":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length : 2\r\n",
	"blank before a name":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-First: 1\r\n X-Trouble: 1\r\n",
	"tab in a name":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\tTrouble: 1\r\n",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\x01Trouble: 1\r\n",
	"line feed before a length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\nContent-Length: 2\r\n",
}

// writeRaw writes a response as it is and closes the connection. head holds the status line and
// the first fields; the field with the request's id follows.
func writeRaw(t *testing.T, w http.ResponseWriter, req *http.Request, head, body string) {
	_, _ = io.Copy(io.Discard, req.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", head, headerRequestID, req.Header.Get(headerRequestID), body); err != nil {
		t.Error(err)
	}
}

// TestBrokenHeads guards against a response whose head is broken and that reaches the caller as
// an answer, and against a caller whose connection ends without a status because of one.
func TestBrokenHeads(t *testing.T) {
	for kind, request := range map[string]struct{ method, path, body, key string }{
		"chat":            {http.MethodPost, "/v1/chat/completions", plainChat, ""},
		"stream":          {http.MethodPost, "/v1/chat/completions", streamChat, ""},
		"lookup":          {http.MethodGet, "/v1/services/lab/lookup", "", ""},
		"unkeyed":         {http.MethodPost, "/v1/services/lab/book", "steel", ""},
		"keyed":           {http.MethodPost, "/v1/services/lab/book", "steel", "key"},
		"keyed, repeated": {http.MethodPost, "/v1/services/lab/book", "steel", "key"},
	} {
		for name, head := range brokenHeads {
			t.Run(kind+"/"+name, func(t *testing.T) {
				addr := target(t, func(w http.ResponseWriter, req *http.Request) { writeRaw(t, w, req, head, "whole") })
				h := newHarness(t, engine("e1", addr), service("s1", addr))
				var header []string
				if request.key != "" {
					header = []string{"Idempotency-Key", request.key}
				}
				if strings.HasSuffix(kind, "repeated") {
					_, _, _ = h.do(t, request.method, request.path, request.body, header...)
				}
				resp, body, err := h.do(t, request.method, request.path, request.body, header...)
				if err != nil || resp.StatusCode < http.StatusBadRequest || resp.StatusCode > maxServerError || resp.Header.Get(headerOutcome) != "unknown" {
					t.Errorf("%v %q, error %v, want an error with the outcome unknown", resp, body, err)
				}
			})
		}
	}
}

// maxServerError is the largest status of an error.
const maxServerError = 599
