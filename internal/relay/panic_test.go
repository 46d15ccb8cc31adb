package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// lockedWriter is a buffer that several goroutines may use.
type lockedWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedWriter) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestReportPanic guards against panics of handlers that nobody sees: the HTTP server recovers
// them and writes a stack trace without a request's id.
func TestReportPanic(t *testing.T) {
	for name, c := range map[string]struct {
		value    any
		reported bool
	}{
		"panic":            {"no answer", true},
		"abort on purpose": {http.ErrAbortHandler, false},
		"none":             {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			out := &lockedWriter{}
			logger := &log.Logger{Writer: &log.IOWriter{Writer: out}}
			scope := tally.NewTestScope("", nil)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer ReportPanic(logger, scope.Counter("panics"), "r-7")
				fmt.Fprint(w, "begun")
				if c.value != nil {
					panic(c.value)
				}
			}))
			body, err := readAnswer(server.Listener.Addr().String(), "1.1")
			server.Close()
			if (err != nil) != (c.value != nil) {
				t.Errorf("the caller read %q with error %v", body, err)
			}
			counted := false
			for _, counter := range scope.Snapshot().Counters() {
				counted = counted || counter.Value() == 1
			}
			logged := strings.Contains(out.String(), `"request_id":"r-7"`) && strings.Contains(out.String(), "no answer")
			if counted != c.reported || logged != c.reported {
				t.Errorf("counted %t, logged %t, want %t: %s", counted, logged, c.reported, out)
			}
		})
	}
}
