// Package kit holds what the scripts of the review share: a fleet of real processes,
// stand-in servers and clients that follow the users' pages, and a record of what was
// sent, answered and run.
package kit

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record writes lines with the time since the start to standard output and to a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + strings.TrimRight(fmt.Sprintf(format, args...), "\n") + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Trouble reports whether the script is to cause its disruption: TROUBLE is not 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run opens the record named by the first argument, calls fn with a fleet and exits with the
// code that fn returns. It ends all processes that the fleet started, also when fn panics. A
// program that was started as a server by StartServer serves instead.
func Run(fn func(f *Fleet) (int, error)) {
	if len(os.Args) > 1 && os.Args[1] == serverCommand {
		serveCommand(os.Args[2:])
		return
	}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM RECORD")
		os.Exit(ExitNotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	os.Exit(run(record, fn))
}

func run(record *Record, fn func(f *Fleet) (int, error)) int {
	f, err := newFleet(record)
	if err != nil {
		record.Printf("could not run: %v", err)
		return ExitNotRun
	}
	defer f.close()
	go f.closeEarly()
	record.Printf("trouble: %t", Trouble())
	code, err := fn(f)
	if err != nil {
		record.Printf("could not run: %v", err)
		return ExitNotRun
	}
	record.Printf("exit code %d", code)
	return code
}

// maxTime is below the time that a script may take.
const maxTime = 116 * time.Second

// closeEarly ends the fleet and this process after maxTime, or when it is told to stop.
func (f *Fleet) closeEarly() {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-stops:
		f.Record.Printf("could not run: stopped by the signal %v", s)
	case <-time.After(maxTime):
		f.Record.Printf("could not run: not done in %v", maxTime)
	}
	f.close()
	os.Exit(ExitNotRun)
}

// Append adds texts to the record, line by line.
func (r *Record) Append(texts ...string) {
	for _, text := range texts {
		for line := range strings.Lines(text) {
			r.Printf("  %s", line)
		}
	}
}
