package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a log reader that takes nothing until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(p)
}

// TestStuckReaderBlocksNobody floods a sink whose reader stands still with
// ordinary lines, then writes warnings: no write may wait, the warnings must come
// out, and the sink must say how many lines are missing.
func TestStuckReaderBlocksNobody(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	const ordinary, warnings = 20000, 300
	began := time.Now()
	for i := range ordinary {
		fmt.Fprintf(s, `{"level":"info","n":%d}`+"\n", i)
	}
	for i := range warnings {
		fmt.Fprintf(s, `{"level":"warn","n":%d}`+"\n", i)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the writes took %v", took)
	}
	close(out.release)
	s.Close()
	text := out.lines.String()
	if got := strings.Count(text, `"level":"warn","n"`); got != warnings {
		t.Errorf("%d warnings came out, want %d", got, warnings)
	}
	kept := strings.Count(text, `"level":"info"`)
	if kept > burstLines+linesPerSecond || kept == 0 {
		t.Errorf("%d ordinary lines came out, the bound is %d", kept, burstLines+linesPerSecond)
	}
	if want := fmt.Sprintf(`"left_out":%d`, ordinary-kept); !strings.Contains(text, want) {
		t.Errorf("no report of %s in the last line %q", want, text[max(0, len(text)-200):])
	}
}

// TestFullQueueBlocksNobody writes more warnings than the queue holds while the
// reader stands still: no write may wait, and the sink must say how many lines
// are missing.
func TestFullQueueBlocksNobody(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	const warnings = 2 * queueLines
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range warnings {
			fmt.Fprintf(s, `{"level":"warn","n":%d}`+"\n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Second):
		t.Error("a write waits for the reader")
	}
	close(out.release)
	<-written
	s.Close()
	text := out.lines.String()
	kept := strings.Count(text, `"level":"warn","n"`)
	if kept < queueLines || kept == warnings {
		t.Errorf("%d of %d warnings came out, the queue holds %d", kept, warnings, queueLines)
	}
	if want := fmt.Sprintf(`"left_out":%d`, warnings-kept); !strings.Contains(text, want) {
		t.Errorf("no report of %s in the last line %q", want, text[max(0, len(text)-200):])
	}
}
