// Package invariant stops the process when a condition that the program's
// safety rests on does not hold.
package invariant

import (
	"fmt"
	"strings"
)

// Violation is the panic value of a failed check.
type Violation struct {
	Step   string
	Values string
}

// Error names the step and the values.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant violated at step %q: %s", v.Step, v.Values)
}

// Check panics with a Violation if ok is false. Values are alternating names
// and values.
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
