package simulation

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Row is one row of the table: the result of a variant in a scenario.
type Row struct {
	Scenario Scenario
	Variant  Variant
	Result   Result
	// Best is the result of the oracle in the same scenario.
	Best Result
}

// ReuseOfBest is the variant's reuse as a fraction of the oracle's reuse.
func (r Row) ReuseOfBest() float64 { return r.Result.Reuse() / r.Best.Reuse() }

// Rows measures each variant in each scenario with the trace generated from seed. The
// first variant must be the oracle.
func Rows(seed uint64, variants []Variant, scenarios []Scenario) []Row {
	rows := make([]Row, len(variants)*len(scenarios))
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/4))
	var runs sync.WaitGroup
	for i, s := range scenarios {
		for j, v := range variants {
			row := &rows[i*len(variants)+j]
			row.Scenario, row.Variant = s, v
			slots <- struct{}{}
			runs.Go(func() {
				defer func() { <-slots }()
				row.Result = Measure(seed, v, s)
			})
		}
	}
	runs.Wait()
	for i := range rows {
		rows[i].Best = rows[i/len(variants)*len(variants)].Result
	}
	return rows
}

// Print writes rows to w as a Markdown table.
func Print(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| Situation | Way | Reuse % | of best % | Skew max | Skew p99 | Over bound | Most over | Hops | Control B/s | Request B/s | Busiest B/s | Wait p99 ms | First token p99 ms | Refused |")
	fmt.Fprintln(w, "|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
	for _, row := range rows {
		r := row.Result
		fmt.Fprintf(w, "| %s | %s | %.1f | %.1f | %.2f | %.2f | %d of %d | %d | %.2f | %.0f | %.0f | %.0f | %d | %d | %d |\n",
			row.Scenario.Name, row.Variant.Name, 100*r.Reuse(), 100*row.ReuseOfBest(), r.SkewMax, r.SkewP99,
			r.OverBound, r.Admissions, r.MaxOverBound, r.Hops, r.ControlBytes, r.RequestBytes, r.BusiestBytes,
			r.WaitP99/time.Millisecond, r.FirstTokenP99/time.Millisecond, r.Refused)
	}
}
