package simulation

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	printTable = flag.Bool("table", false, "print the complete table")
	only       = flag.String("only", "", "names of the scenarios to print, all if empty")
	seed       = flag.Uint64("seed", 1, "seed of the trace")
)

// TestTable prints the table of docs/design/placement.md.
func TestTable(t *testing.T) {
	if !*printTable {
		return
	}
	scenarios := Scenarios
	if *only != "" {
		scenarios = slices.DeleteFunc(slices.Clone(scenarios), func(s Scenario) bool { return !strings.Contains(*only, s.Name) })
	}
	Print(os.Stdout, Rows(*seed, Variants, scenarios))
}

// The required fractions of the oracle's reuse.
const (
	calmReuse  = 0.95
	churnReuse = 0.85
	// maxP99Factor bounds the p99 of the other customers during a surge relative to
	// the calm scenario.
	maxP99Factor = 1.10
)

// defaultScenarios are the scenarios of an ordinary test run; with -table all of them
// run.
var defaultScenarios = []string{"calm", "surge", "flap", "10% replaced", "router dies", "all at once"}

// TestTargets checks that the variant used by the routers meets the required values.
func TestTargets(t *testing.T) {
	deployed := Variants[slices.IndexFunc(Variants, func(w Variant) bool { return w.Name == Deployed })]
	scenarios := Scenarios
	if !*printTable {
		scenarios = slices.DeleteFunc(slices.Clone(scenarios), func(s Scenario) bool {
			return !slices.Contains(defaultScenarios, s.Name)
		})
	}
	rows := Rows(*seed, []Variant{Variants[0], deployed}, scenarios)
	var calm Result
	for _, row := range rows {
		if row.Variant.Name != Deployed {
			continue
		}
		least := churnReuse
		if row.Scenario.Name == "calm" {
			least = calmReuse
			calm = row.Result
		}
		if got := row.ReuseOfBest(); got < least {
			t.Errorf("%s: reuse is %.3f of the best, want at least %.2f", row.Scenario.Name, got, least)
		}
		if row.Result.OverBound > 0 {
			t.Errorf("%s: %d of %d admissions over the load bound", row.Scenario.Name, row.Result.OverBound, row.Result.Admissions)
		}
		if row.Scenario.Surge {
			checkP99(t, row.Scenario.Name+" wait", calm.WaitP99, row.Result.WaitP99)
			checkP99(t, row.Scenario.Name+" first token", calm.FirstTokenP99, row.Result.FirstTokenP99)
		}
	}
}

func checkP99(t *testing.T, what string, calm, surge time.Duration) {
	t.Helper()
	if float64(surge) > maxP99Factor*float64(calm) {
		t.Errorf("%s: the p99 of customers that do not surge is %v, in the calm scenario it is %v", what, surge, calm)
	}
}
