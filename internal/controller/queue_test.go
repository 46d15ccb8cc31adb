package controller

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func quietLogger() *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
}

// recorder is a Reconciler that records when it was called for each key.
type recorder struct {
	mu        sync.Mutex
	running   map[string]bool
	overlap   bool
	calls     map[string][]time.Duration
	start     time.Time
	reconcile func(key string, n int) (Result, error)
}

func (r *recorder) Reconcile(_ context.Context, key string) (Result, error) {
	r.mu.Lock()
	r.overlap = r.overlap || r.running[key]
	r.running[key] = true
	r.calls[key] = append(r.calls[key], time.Since(r.start))
	n := len(r.calls[key])
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running[key] = false
	}()
	return r.reconcile(key, n)
}

func (r *recorder) times(key string) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[key]
}

func runQueue(t *testing.T, reconcile func(key string, n int) (Result, error), test func(q *Queue, r *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{running: map[string]bool{}, calls: map[string][]time.Duration{}, start: time.Now(), reconcile: reconcile}
		q := NewQueue(QueueConfig{Name: "test", Reconciler: r, Workers: 4, PerSecond: 10, Burst: 2, Logger: quietLogger(), Scope: tally.NoopScope})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			q.Run(ctx)
			close(ended)
		}()
		defer func() {
			cancel()
			<-ended
		}()
		test(q, r)
	})
}

// TestFailuresBackOff checks the times of the retries of a failing key, that Add does
// not shorten the back-off, and that the queue drops the key after a success.
func TestFailuresBackOff(t *testing.T) {
	runQueue(t, func(_ string, n int) (Result, error) {
		if n < 5 {
			return Result{}, errors.New("not yet")
		}
		return Result{}, nil
	}, func(q *Queue, r *recorder) {
		q.Add("k")
		time.Sleep(10 * time.Millisecond)
		q.Add("k")
		time.Sleep(time.Minute)
		want := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}
		got := r.times("k")
		if len(got) != len(want) {
			t.Fatalf("reconciled at %v", got)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("reconciled at %v, want %v", got, want)
			}
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		if len(q.items) != 0 {
			t.Fatal("the queue still holds a key after its reconciliation succeeded")
		}
	})
}

func TestOnePassAtATimeForEachKey(t *testing.T) {
	runQueue(t, func(string, int) (Result, error) {
		time.Sleep(time.Second)
		return Result{}, nil
	}, func(q *Queue, r *recorder) {
		for range 5 {
			q.Add("k")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.overlap || len(r.calls["k"]) != 2 {
			t.Fatalf("overlap %v, reconciled at %v", r.overlap, r.calls["k"])
		}
	})
}

func TestRateIsBounded(t *testing.T) {
	runQueue(t, func(string, int) (Result, error) { return Result{}, nil }, func(q *Queue, r *recorder) {
		for i := range 50 {
			q.Add(string(rune('a' + i)))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		if n := len(r.calls); n < 10 || n > 12 {
			t.Fatalf("%d keys reconciled in the first second, want 10 to 12", n)
		}
	})
}
