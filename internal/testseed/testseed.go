// Package testseed fixes the seeds of the property-based tests that use rapid, so that
// every run checks the same inputs and has the same result. It is used only in tests.
package testseed

import (
	"flag"
	"strconv"

	// The import registers the flags that Fix sets.
	_ "pgregory.net/rapid"
)

// Fix sets the seed of the property-based tests run by rapid and, if checks is
// positive, the number of inputs that each of them checks. Call it before the flags
// are parsed, so that -rapid.seed and -rapid.checks on the command line take
// precedence.
func Fix(seed uint64, checks int) {
	set("rapid.seed", strconv.FormatUint(seed, 10))
	set("rapid.nofailfile", "true")
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
