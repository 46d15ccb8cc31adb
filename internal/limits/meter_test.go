package limits

import (
	"testing"
	"time"
)

// A share that follows a time without a share must start with its full burst.
// Otherwise the second request of a customer far below its limit would be refused.
func TestNewShareStartsWithItsBurst(t *testing.T) {
	share := Amount{Requests: 12, Tokens: 1000, Concurrency: 4}
	now := time.Now()
	m := &meter{}
	for _, idle := range []time.Duration{0, 10 * time.Second} {
		now = now.Add(idle)
		if code, _ := m.acquire(now, 1); code == "" {
			t.Fatal("a request was admitted without a share")
		}
		m.setShare(now, share, now.Add(ShareLifetime))
		for i := range 12 {
			if code, _ := m.acquire(now, 1); code != "" {
				t.Fatalf("request %d after %v idle: %s", i+1, idle, code)
			}
			m.release(now, 1, 1)
		}
		if code, _ := m.acquire(now, 1); code != CodeRequests {
			t.Fatalf("after the burst: %q", code)
		}
	}
}

// A share that expires and is replaced after 1 ms must not start with a new burst.
// Otherwise the admitted requests would exceed the rate.
func TestShortGapsAddNoBurst(t *testing.T) {
	share := Amount{Requests: 10, Tokens: 1000, Concurrency: 100}
	now := time.Now()
	m := &meter{}
	admitted := 0
	for range 10 {
		m.setShare(now, share, now.Add(time.Second))
		for range 100 {
			if code, _ := m.acquire(now, 0); code == "" {
				admitted++
			}
			now = now.Add(10 * time.Millisecond)
		}
		now = now.Add(time.Millisecond)
	}
	if admitted > 10*10+10+1 {
		t.Fatalf("%d requests admitted in 10 s at 10/s with a burst of 10", admitted)
	}
}
