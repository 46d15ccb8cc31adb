// Package assert checks invariants while the program runs. A violation is a
// fault of the program itself, never of its input.
package assert

import (
	"fmt"
	"sync/atomic"
)

// Handler is told of a violation: the step that checked, and what was seen.
type Handler func(step, seen string)

var handler atomic.Pointer[Handler]

// OnViolation replaces the default, which is to panic. A nil handler restores
// the default.
func OnViolation(h Handler) {
	if h == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&h)
}

// That reports a violation unless ok; seen is called only then.
func That(ok bool, step string, seen func() string) {
	if ok {
		return
	}
	if h := handler.Load(); h != nil {
		(*h)(step, seen())
		return
	}
	panic(fmt.Sprintf("invariant violated: %s: %s", step, seen()))
}
