// Package testseed gives the random tests of the tree their fixed seeds, so
// that every run has the same verdict.
package testseed

import (
	"flag"
	"strconv"

	// Registers the flags that Fix sets.
	_ "pgregory.net/rapid"
)

// Fix sets the seed of rapid's tests and, if above zero, the number of their
// checks. Call it before the flags are parsed: -rapid.seed and -rapid.checks on
// the command line go before it.
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
