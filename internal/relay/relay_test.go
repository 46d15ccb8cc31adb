package relay

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

var errBroken = errors.New("broken")

// failingWriter simulates a caller that has disconnected.
type failingWriter struct{ http.ResponseWriter }

func (failingWriter) Write([]byte) (int, error) { return 0, errBroken }

// TestCopy checks what the caller receives and which error Copy returns, for bodies
// that are complete, truncated or not accepted by the caller.
func TestCopy(t *testing.T) {
	for name, test := range map[string]struct {
		from    io.Reader
		flush   bool
		failing bool
		want    string
		err     error
		first   bool
	}{
		"whole":             {from: strings.NewReader("answer"), want: "answer", first: true},
		"stream":            {from: iotest.OneByteReader(strings.NewReader("answer")), flush: true, want: "answer", first: true},
		"empty":             {from: strings.NewReader("")},
		"cut by the target": {from: io.MultiReader(strings.NewReader("ans"), iotest.ErrReader(errBroken)), want: "ans", err: errBroken, first: true},
		"caller gone":       {from: strings.NewReader("answer"), failing: true, err: ErrCallerWrite},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			var w http.ResponseWriter = recorder
			if test.failing {
				w = failingWriter{recorder}
			}
			var chunks strings.Builder
			body := Body{Source: test.from, Flush: test.flush, OnChunk: func(p []byte) { chunks.Write(p) }}
			first, err := body.Copy(w)
			if !errors.Is(err, test.err) || (test.err == nil && err != nil) {
				t.Fatalf("error %v, want %v", err, test.err)
			}
			if errors.Is(err, ErrCallerWrite) != test.failing {
				t.Errorf("error %v: wrong result of errors.Is(err, ErrCallerWrite)", err)
			}
			if got := recorder.Body.String(); got != test.want {
				t.Errorf("the caller got %q, want %q", got, test.want)
			}
			if !test.failing && chunks.String() != test.want {
				t.Errorf("chunks %q, want %q", chunks.String(), test.want)
			}
			if first.IsZero() == test.first {
				t.Errorf("first chunk written: %t, want %t", !first.IsZero(), test.first)
			}
			if recorder.Flushed != test.flush {
				t.Errorf("flushed: %t, want %t", recorder.Flushed, test.flush)
			}
		})
	}
}

// TestSetHeader checks that Content-Length comes from the answer's Length, never from
// its headers.
func TestSetHeader(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		length int64
		want   string
	}{
		"length":         {http.StatusOK, 3, "3"},
		"empty":          {http.StatusOK, 0, "0"},
		"unknown length": {http.StatusOK, -1, ""},
		"no content":     {http.StatusNoContent, 0, ""},
		"not modified":   {http.StatusNotModified, 3, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			SetHeader(h, &filter.Answer{Status: test.status, Length: test.length, Header: http.Header{
				"Content-Length": {"999"},
				"X-Number":       {"4"},
			}})
			if got := h.Get("Content-Length"); got != test.want {
				t.Errorf("length %q, want %q", got, test.want)
			}
			if got := h.Get("X-Number"); got != "4" {
				t.Errorf("header %q, want 4", got)
			}
		})
	}
}
