// Package logsink provides an asynchronous log writer. The writer queues lines and
// writes them from its own goroutine, so that a slow reader of the log never blocks a
// request. It limits the rate of lines below the warning level, drops lines when the
// queue is full, and logs how many lines it dropped. It does not format lines.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue.
	queueLines = 2048
	// linesPerSecond and burstLines limit lines below the warning level.
	linesPerSecond = 400
	burstLines     = 1200
	// reportInterval is the interval between two reports of dropped lines.
	reportInterval = time.Second
	// levelSearchBytes is the length of the prefix of a line that is searched for the
	// level.
	levelSearchBytes = 96
)

// Sink is an asynchronous io.Writer for log lines. Each call of Write must pass one
// complete line.
type Sink struct {
	out         io.Writer
	infoLimiter *rate.Limiter
	queue       chan []byte
	stop        chan struct{}
	running     sync.WaitGroup

	dropped       atomic.Int64
	writeFailures atomic.Int64
}

// New returns a sink that writes to out and starts its goroutine. Close ends it.
func New(out io.Writer) *Sink {
	s := &Sink{
		out:         out,
		infoLimiter: rate.NewLimiter(linesPerSecond, burstLines),
		queue:       make(chan []byte, queueLines),
		stop:        make(chan struct{}),
	}
	s.running.Go(s.run)
	return s
}

// Write queues one line. It never blocks: it drops lines below the warning level
// that exceed the rate limit, and any line when the queue is full. The last quarter
// of the queue is reserved for warnings and errors.
func (s *Sink) Write(line []byte) (int, error) {
	warning := isWarning(line)
	if !warning && (len(s.queue) > queueLines*3/4 || !s.infoLimiter.Allow()) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.queue <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// isWarning reports whether a line has the level warn or error.
func isWarning(line []byte) bool {
	head := line[:min(len(line), levelSearchBytes)]
	return bytes.Contains(head, []byte(`"level":"warn"`)) || bytes.Contains(head, []byte(`"level":"error"`))
}

func (s *Sink) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		case <-ticker.C:
			s.reportDropped()
		case <-s.stop:
			s.drain()
			s.reportDropped()
			return
		}
	}
}

// drain writes all queued lines.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		default:
			return
		}
	}
}

// write writes one line. It counts failed writes, since they can only be reported
// in a later line.
func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.writeFailures.Add(1)
	}
}

// reportDropped logs the numbers of dropped lines and failed writes since the
// previous report, unless both are zero.
func (s *Sink) reportDropped() {
	dropped, failures := s.dropped.Swap(0), s.writeFailures.Swap(0)
	if dropped == 0 && failures == 0 {
		return
	}
	s.write(fmt.Appendf(nil, `{"time":%q,"level":"warn","step":"log","left_out":%d,"write_failures":%d,"message":"log lines were left out"}`+"\n",
		time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), dropped, failures))
}

// Close writes all queued lines and ends the sink. Lines written after Close are
// lost.
func (s *Sink) Close() {
	close(s.stop)
	s.running.Wait()
}
