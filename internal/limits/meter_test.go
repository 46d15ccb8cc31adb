package limits

import (
	"testing"
	"time"
)

// A share that follows a time without one starts with its burst: a customer
// far below its limit is not refused its second request.
func TestNewShareStartsWithItsBurst(t *testing.T) {
	share := Amount{Requests: 12, Tokens: 1000, Concurrency: 4}
	now := time.Now()
	m := &meter{}
	for _, idle := range []time.Duration{0, 10 * time.Second} {
		now = now.Add(idle)
		if code, _ := m.acquire(now, 1); code == "" {
			t.Fatal("a request was taken without a share")
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

// Shares that expire and return at once add no burst.
func TestShortGapsAddNoBurst(t *testing.T) {
	share := Amount{Requests: 10, Tokens: 1000, Concurrency: 100}
	now := time.Now()
	m := &meter{}
	taken := 0
	for range 10 {
		m.setShare(now, share, now.Add(time.Second))
		for range 100 {
			if code, _ := m.acquire(now, 0); code == "" {
				taken++
			}
			now = now.Add(10 * time.Millisecond)
		}
		now = now.Add(time.Millisecond)
	}
	if taken > 10*10+10+1 {
		t.Fatalf("%d requests taken in 10 s at 10/s with a burst of 10", taken)
	}
}
