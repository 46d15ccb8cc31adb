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
	// printTable also makes TestTargets run all scenarios.
	printTable = flag.Bool("table", false, "print the complete table")
	only       = flag.String("only", "", "names of the scenarios to print, all if empty")
	seed       = flag.Uint64("seed", 1, "seed of the trace")
)

// TestTable prints the table of docs/design/placement.md if the flag -table is set.
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

// The required values.
const (
	// calmReuse is the minimum reuse in the calm scenario, as a fraction of the oracle's.
	calmReuse = 0.95
	// churnReuse is the minimum in all other scenarios.
	churnReuse = 0.85
	// maxP99Factor is the maximum increase of the p99 waiting times of the customers
	// that do not surge, as a factor on the calm scenario's.
	maxP99Factor = 1.10
)

// defaultScenarios are the scenarios that TestTargets runs without the flag -table.
var defaultScenarios = []string{"calm", "surge", "flap", "10% replaced", "router dies", "all at once"}

// TestTargets checks that the variant that the routers use meets the required reuse,
// never exceeds the load bound, and protects other customers against a surge.
func TestTargets(t *testing.T) {
	deployed := Variants[slices.IndexFunc(Variants, func(v Variant) bool { return v.Name == Deployed })]
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

// checkP99 checks a p99 in a surge against the one in the calm scenario.
func checkP99(t *testing.T, what string, calm, surge time.Duration) {
	t.Helper()
	if float64(surge) > maxP99Factor*float64(calm) {
		t.Errorf("%s: the p99 of customers that do not surge is %v, in the calm scenario it is %v", what, surge, calm)
	}
}
