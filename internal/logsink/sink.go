// Package logsink writes log lines from a goroutine of its own, so that a slow
// reader of the log never holds up a request. It bounds the lines a second and
// says how many it left out.
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
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// linesPerSecond and burstLines bound ordinary lines.
	linesPerSecond = 400
	burstLines     = 1200
	// reportInterval lies between two lines about what was left out.
	reportInterval = time.Second
	// levelSearchBytes is the part of a line in which its level stands.
	levelSearchBytes = 96
)

// Sink is an io.Writer of whole lines.
type Sink struct {
	out         io.Writer
	infoLimiter *rate.Limiter
	queue       chan []byte
	stop        chan struct{}
	running     sync.WaitGroup

	dropped       atomic.Int64
	writeFailures atomic.Int64
}

// New starts a sink over out. Close ends it.
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

// Write takes one line. It never blocks: an ordinary line over the rate, and any
// line when the queue is full, is left out. The last quarter of the queue is
// kept for warnings and errors.
func (s *Sink) Write(line []byte) (int, error) {
	important := isWarning(line)
	if !important && (len(s.queue) > queueLines*3/4 || !s.infoLimiter.Allow()) {
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

// isWarning tells whether a line is a warning or an error.
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

// drain writes what waits.
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

// write counts lines that can't be written: there is nowhere to report them but
// in later lines.
func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.writeFailures.Add(1)
	}
}

// reportDropped writes a line if any was left out since the last one.
func (s *Sink) reportDropped() {
	leftOut, failures := s.dropped.Swap(0), s.writeFailures.Swap(0)
	if leftOut == 0 && failures == 0 {
		return
	}
	s.write(fmt.Appendf(nil, `{"time":%q,"level":"warn","step":"log","left_out":%d,"write_failures":%d,"message":"log lines were left out"}`+"\n",
		time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), leftOut, failures))
}

// Close writes what waits and ends the sink. Lines that come later are lost.
func (s *Sink) Close() {
	close(s.stop)
	s.running.Wait()
}
