package measure

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	printTable = flag.Bool("table", false, "print the whole table")
	only       = flag.String("only", "", "names of the situations to print, all if empty")
	seed       = flag.Uint64("seed", 1, "seed of the trace")
)

// TestTable prints the table of docs/design/placement.md.
func TestTable(t *testing.T) {
	if !*printTable {
		return
	}
	situations := Scenarios
	if *only != "" {
		situations = slices.DeleteFunc(slices.Clone(situations), func(s Scenario) bool { return !strings.Contains(*only, s.Name) })
	}
	Print(os.Stdout, Rows(*seed, Variants, situations))
}

// The targets of the brief and the letter, as shares.
const (
	calmReuse  = 0.95
	churnReuse = 0.85
	// maxP99Factor is by how much a surge may move the others' p99.
	maxP99Factor = 1.10
)

// defaultScenarios are the situations of an ordinary test run; with -table it is all.
var defaultScenarios = []string{"calm", "surge", "flap", "10% replaced", "router dies", "all at once"}

// TestTargets holds the way that the routers use to the stated targets.
func TestTargets(t *testing.T) {
	inUse := Variants[slices.IndexFunc(Variants, func(w Variant) bool { return w.Name == Deployed })]
	situations := Scenarios
	if !*printTable {
		situations = slices.DeleteFunc(slices.Clone(situations), func(s Scenario) bool {
			return !slices.Contains(defaultScenarios, s.Name)
		})
	}
	rows := Rows(*seed, []Variant{Variants[0], inUse}, situations)
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
			t.Errorf("%s: reuse is %.3f of the best, under %.2f", row.Scenario.Name, got, least)
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
		t.Errorf("%s: the p99 of customers that don't surge is %v, %v in calm", what, surge, calm)
	}
}
