// Package invariant checks safety conditions at run time. Check panics if a condition is
// violated, so that the process stops before it acts on a corrupt state. The package
// does not recover from the panic.
package invariant

import (
	"fmt"
	"strings"
)

// Violation is the panic value of a failed check.
type Violation struct {
	Step string
	// Values lists the names and values given to Check as "name=value".
	Values string
}

// Error returns a text with the step and the values.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant violated at step %q: %s", v.Step, v.Values)
}

// Check panics with a *Violation if ok is false. The variadic arguments are alternating
// names and values, which the text of the violation lists.
func Check(ok bool, step string, values ...any) {
	if ok {
		return
	}
	var b strings.Builder
	for i := 0; i+1 < len(values); i += 2 {
		fmt.Fprintf(&b, "%v=%v ", values[i], values[i+1])
	}
	panic(&Violation{Step: step, Values: strings.TrimSpace(b.String())})
}
