package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxReportedCulprits bounds the steps and targets listed for a customer.
const maxReportedCulprits = 5

// Report is the burn of all contracts over the whole fleet.
type Report struct {
	Customers []CustomerReport `json:"customers"`
	// Routers that answered, and notes on those that did not or have only
	// counted for a part of the longest window.
	Routers []string `json:"routers"`
	Notes   []string `json:"notes"`
}

// CustomerReport is the burn of one contract.
type CustomerReport struct {
	Customer   string            `json:"customer"`
	Objectives []ObjectiveReport `json:"objectives"`
	// First token percentiles of the last hour at most, in milliseconds.
	FirstTokenP50 float64         `json:"first_token_p50_ms"`
	FirstTokenP95 float64         `json:"first_token_p95_ms"`
	FirstTokenP99 float64         `json:"first_token_p99_ms"`
	Culprits      []CulpritReport `json:"culprits"`
}

// ObjectiveReport is the burn of one objective.
type ObjectiveReport struct {
	Name   string  `json:"name"`
	Target float64 `json:"target_share"`
	// Windows are ordered as the package's Windows.
	Windows []WindowReport `json:"windows"`
	// BudgetLeft is the part of the longest window's error budget that is
	// left; negative once the objective is missed.
	BudgetLeft float64 `json:"budget_left"`
}

// WindowReport is the burn over one window.
type WindowReport struct {
	Window string `json:"window"`
	Total  uint64 `json:"total"`
	Bad    uint64 `json:"bad"`
	// Burn is the rate at which the budget is used; at 1 it lasts just one
	// window.
	Burn float64 `json:"burn"`
}

// CulpritReport names a step and target behind bad requests.
type CulpritReport struct {
	Step   string `json:"step"`
	Target string `json:"target"`
	Bad    uint64 `json:"bad"`
}

// Build merges the replies of routers under the contracts' objectives.
func Build(replies []*pb.BurnReply, objectives func(customer string) *pb.Objectives) *Report {
	report := &Report{Customers: []CustomerReport{}, Routers: []string{}, Notes: []string{}}
	merged := make(map[string]*customerTotals)
	for _, reply := range replies {
		report.Routers = append(report.Routers, reply.Router)
		if note := partialCountNote(reply); note != "" {
			report.Notes = append(report.Notes, note)
		}
		for _, entry := range reply.Customers {
			m, ok := merged[entry.Customer]
			if !ok {
				m = newCustomerTotals()
				merged[entry.Customer] = m
			}
			m.add(entry)
		}
	}
	for name, m := range merged {
		if o := objectives(name); o != nil {
			report.Customers = append(report.Customers, m.report(name, o))
		}
	}
	slices.Sort(report.Routers)
	slices.Sort(report.Notes)
	slices.SortFunc(report.Customers, func(a, b CustomerReport) int { return cmp.Compare(a.Customer, b.Customer) })
	return report
}

func partialCountNote(reply *pb.BurnReply) string {
	counted := time.Duration(reply.CountedSeconds) * time.Second
	if counted >= Windows[len(Windows)-1] {
		return ""
	}
	return "router " + reply.Router + " has counted for " + counted.String() + " only; requests before that are not in longer windows"
}

// customerTotals sums the counts of one customer over routers.
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

func (m *customerTotals) add(entry *pb.CustomerBurn) {
	for i, w := range entry.Windows {
		if i >= len(m.windows) {
			break
		}
		sum := &m.windows[i]
		sum.Total += w.Total
		sum.Refused += w.Refused
		sum.Answered += w.Answered
		sum.FirstTokens += w.FirstTokens
		sum.FirstTokensMet += w.FirstTokensMet
	}
	if h, err := hdrhistogram.Decode(entry.FirstTokenHistogram); err == nil {
		m.histogram.Merge(h)
	}
	for _, c := range entry.Culprits {
		m.culprits[culprit{step: c.Step, target: c.Target}] += c.Count
	}
}

// firstTokenName names the objective on the first token; without a time of its own
// it is that of each request's route.
func firstTokenName(o *pb.Objectives) string {
	if o.FirstTokenMs == 0 {
		return "first token within its route's goal"
	}
	return "first token within " + (time.Duration(o.FirstTokenMs) * time.Millisecond).String()
}

func (m *customerTotals) report(name string, o *pb.Objectives) CustomerReport {
	return CustomerReport{
		Customer: name,
		Objectives: []ObjectiveReport{
			m.objective(firstTokenName(o), o.FirstTokenShare, countFirstTokens),
			m.objective("answered", o.AnsweredShare, countUnanswered),
			m.objective("not refused", o.NotRefusedShare, countRefused),
		},
		FirstTokenP50: m.percentile(50),
		FirstTokenP95: m.percentile(95),
		FirstTokenP99: m.percentile(99),
		Culprits:      m.topCulprits(),
	}
}

func countFirstTokens(w *pb.WindowCounts) (total, bad uint64) {
	return w.FirstTokens, w.FirstTokens - w.FirstTokensMet
}

func countUnanswered(w *pb.WindowCounts) (total, bad uint64) {
	total = w.Total - w.Refused
	return total, total - w.Answered
}

func countRefused(w *pb.WindowCounts) (total, bad uint64) {
	return w.Total, w.Refused
}

func (m *customerTotals) objective(name string, share float64, count func(*pb.WindowCounts) (total, bad uint64)) ObjectiveReport {
	report := ObjectiveReport{Name: name, Target: share, BudgetLeft: 1}
	for i, length := range Windows {
		total, bad := count(&m.windows[i])
		w := WindowReport{Window: length.String(), Total: total, Bad: bad}
		if total > 0 {
			w.Burn = float64(bad) / float64(total) / (1 - share)
		}
		report.Windows = append(report.Windows, w)
		report.BudgetLeft = 1 - w.Burn
	}
	return report
}

func (m *customerTotals) percentile(p float64) float64 {
	micros := m.histogram.ValueAtPercentile(p)
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

func (m *customerTotals) topCulprits() []CulpritReport {
	list := make([]CulpritReport, 0, len(m.culprits))
	for k, n := range m.culprits {
		list = append(list, CulpritReport{Step: k.step, Target: k.target, Bad: n})
	}
	slices.SortFunc(list, func(a, b CulpritReport) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), maxReportedCulprits)]
}
