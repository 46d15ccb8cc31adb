package window

import (
	"testing"
	"time"
)

func TestMaxForgetsAfterTwoWindows(t *testing.T) {
	const length = 10 * time.Second
	start := time.Unix(1000, 0)
	var m Max[int]
	for _, c := range []struct {
		at        time.Duration
		add, want int
	}{{0, 7, 7}, {9 * time.Second, 3, 7}, {12 * time.Second, 2, 7}, {21 * time.Second, 1, 7}, {22 * time.Second, 4, 4}, {60 * time.Second, 1, 1}} {
		if got := m.Add(start.Add(c.at), length, c.add); got != c.want {
			t.Errorf("after %v: %d, want %d", c.at, got, c.want)
		}
	}
}
