// Package window holds statistics over sliding windows. It has no clock.
package window

import (
	"cmp"
	"time"
)

// Max keeps the largest value of the last one to two windows of a fixed length. The zero
// value has seen nothing.
type Max[T cmp.Ordered] struct {
	since    time.Time
	current  T
	previous T
}

// Add records v and returns the largest value of the present window and the one before.
func (m *Max[T]) Add(now time.Time, length time.Duration, v T) T {
	var none T
	switch elapsed := now.Sub(m.since); {
	case elapsed >= 2*length:
		m.since, m.current, m.previous = now, none, none
	case elapsed >= length:
		m.since, m.current, m.previous = now, none, m.current
	}
	m.current = max(m.current, v)
	return max(m.current, m.previous)
}
