package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxReportedCulprits is the maximum number of pairs of step and target listed
// for a customer.
const maxReportedCulprits = 5

// Report holds the burn rates of all contracts, merged over all routers.
type Report struct {
	Customers []CustomerReport `json:"customers"`
	// Routers are the ids of the routers that replied. Notes name those that did
	// not, and those that have counted for less than the longest window.
	Routers []string `json:"routers"`
	Notes   []string `json:"notes"`
}

// CustomerReport holds the burn rates of one contract.
type CustomerReport struct {
	Customer   string            `json:"customer"`
	Objectives []ObjectiveReport `json:"objectives"`
	// The percentiles of the time to the first token, in milliseconds, cover at
	// most the last hour.
	FirstTokenP50 float64         `json:"first_token_p50_ms"`
	FirstTokenP95 float64         `json:"first_token_p95_ms"`
	FirstTokenP99 float64         `json:"first_token_p99_ms"`
	Culprits      []CulpritReport `json:"culprits"`
}

// ObjectiveReport holds the burn rates of one objective.
type ObjectiveReport struct {
	Name        string  `json:"name"`
	TargetShare float64 `json:"target_share"`
	// Windows are in the order of the package variable Windows.
	Windows []WindowReport `json:"windows"`
	// BudgetLeft is the fraction of the error budget of the longest window that is
	// left. It is negative once the objective is missed.
	BudgetLeft float64 `json:"budget_left"`
}

// WindowReport holds the burn rate over one window.
type WindowReport struct {
	Window string `json:"window"`
	Total  uint64 `json:"total"`
	Bad    uint64 `json:"bad"`
	// Burn is the burn rate: at 1 the error budget is used up in exactly one
	// window.
	Burn float64 `json:"burn"`
}

// CulpritReport is a pair of step and target and the number of bad requests
// attributed to it.
type CulpritReport struct {
	Step   string `json:"step"`
	Target string `json:"target"`
	Bad    uint64 `json:"bad"`
}

// Build merges the replies of routers. Customers for which objectives returns
// nil are left out of the report.
func Build(replies []*pb.BurnReply, objectives func(customer string) *pb.Objectives) *Report {
	report := &Report{Customers: []CustomerReport{}, Routers: []string{}, Notes: []string{}}
	merged := make(map[string]*customerTotals)
	for _, reply := range replies {
		report.Routers = append(report.Routers, reply.Router)
		if note := partialCountNote(reply); note != "" {
			report.Notes = append(report.Notes, note)
		}
		for _, entry := range reply.Customers {
			t, ok := merged[entry.Customer]
			if !ok {
				t = newCustomerTotals()
				merged[entry.Customer] = t
			}
			t.add(entry)
		}
	}
	for name, t := range merged {
		if o := objectives(name); o != nil {
			report.Customers = append(report.Customers, t.report(name, o))
		}
	}
	slices.Sort(report.Routers)
	slices.Sort(report.Notes)
	slices.SortFunc(report.Customers, func(a, b CustomerReport) int { return cmp.Compare(a.Customer, b.Customer) })
	return report
}

// partialCountNote returns a note if the router has counted for less than the
// longest window, or an empty string.
func partialCountNote(reply *pb.BurnReply) string {
	counted := time.Duration(reply.CountedSeconds) * time.Second
	if counted >= Windows[len(Windows)-1] {
		return ""
	}
	return "router " + reply.Router + " has counted for " + counted.String() + " only; longer windows miss its earlier requests"
}

// customerTotals sums the counts of one customer over all routers.
type customerTotals struct {
	windows   []pb.WindowCounts
	histogram *hdrhistogram.Histogram
	culprits  map[culprit]uint64
}

func newCustomerTotals() *customerTotals {
	return &customerTotals{
		windows:   make([]pb.WindowCounts, len(Windows)),
		histogram: newHistogram(),
		culprits:  make(map[culprit]uint64),
	}
}

func (t *customerTotals) add(entry *pb.CustomerBurn) {
	for i, w := range entry.Windows {
		if i >= len(t.windows) {
			break
		}
		sum := &t.windows[i]
		sum.Total += w.Total
		sum.Refused += w.Refused
		sum.Answered += w.Answered
		sum.FirstTokens += w.FirstTokens
		sum.FirstTokensMet += w.FirstTokensMet
	}
	if h, err := hdrhistogram.Decode(entry.FirstTokenHistogram); err == nil {
		t.histogram.Merge(h)
	}
	for _, c := range entry.Culprits {
		t.culprits[culprit{step: c.Step, target: c.Target}] += c.Count
	}
}

// firstTokenObjectiveName returns the name of the objective on the time to the first
// token. If the contract sets no time, the objective of the route of each
// request applies.
func firstTokenObjectiveName(o *pb.Objectives) string {
	if o.FirstTokenMs == 0 {
		return "first token within its route's goal"
	}
	return "first token within " + (time.Duration(o.FirstTokenMs) * time.Millisecond).String()
}

func (t *customerTotals) report(name string, o *pb.Objectives) CustomerReport {
	return CustomerReport{
		Customer: name,
		Objectives: []ObjectiveReport{
			t.objective(firstTokenObjectiveName(o), o.FirstTokenShare, countFirstTokens),
			t.objective("answered", o.AnsweredShare, countUnanswered),
			t.objective("not refused", o.NotRefusedShare, countRefused),
		},
		FirstTokenP50: t.percentile(50),
		FirstTokenP95: t.percentile(95),
		FirstTokenP99: t.percentile(99),
		Culprits:      t.topCulprits(),
	}
}

// countFirstTokens returns the total and the bad count for the objective on the
// time to the first token.
func countFirstTokens(w *pb.WindowCounts) (total, bad uint64) {
	return w.FirstTokens, w.FirstTokens - w.FirstTokensMet
}

// countUnanswered returns the total and the bad count for the objective on
// answered requests, which leaves refused requests out.
func countUnanswered(w *pb.WindowCounts) (total, bad uint64) {
	total = w.Total - w.Refused
	return total, total - w.Answered
}

// countRefused returns the total and the bad count for the objective on refused
// requests.
func countRefused(w *pb.WindowCounts) (total, bad uint64) {
	return w.Total, w.Refused
}

// objective computes the burn rates of one objective, where share is the
// fraction of requests that must be good and count returns the counts of a
// window.
func (t *customerTotals) objective(name string, share float64, count func(*pb.WindowCounts) (total, bad uint64)) ObjectiveReport {
	report := ObjectiveReport{Name: name, TargetShare: share, BudgetLeft: 1}
	for i, length := range Windows {
		total, bad := count(&t.windows[i])
		w := WindowReport{Window: length.String(), Total: total, Bad: bad}
		if total > 0 {
			w.Burn = float64(bad) / float64(total) / (1 - share)
		}
		report.Windows = append(report.Windows, w)
		report.BudgetLeft = 1 - w.Burn
	}
	return report
}

// percentile returns a percentile of the time to the first token in
// milliseconds.
func (t *customerTotals) percentile(p float64) float64 {
	micros := t.histogram.ValueAtPercentile(p)
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// topCulprits returns the culprits with the most bad requests, most first.
func (t *customerTotals) topCulprits() []CulpritReport {
	list := make([]CulpritReport, 0, len(t.culprits))
	for k, n := range t.culprits {
		list = append(list, CulpritReport{Step: k.step, Target: k.target, Bad: n})
	}
	slices.SortFunc(list, func(a, b CulpritReport) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), maxReportedCulprits)]
}
