// Package losses adds up, from the log lines of routers, the requests that did not serve
// their callers in time: by second, service, step and cause. It does no I/O of its own.
package losses

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes bounds one line; longer ones are passed over.
	maxLineBytes = 256 << 10
	// maxRows bounds the rows that are kept apart; what is beyond them is counted in
	// Report.Dropped.
	maxRows = 1 << 16
	// requestMessage ends the line of each request.
	requestMessage = "request finished"
	// minServerError is the least status by which a target tells of its own failure.
	minServerError = 500
)

// Kind is how a request was lost.
type Kind string

// Kinds.
const (
	// Refused by a router.
	Refused Kind = "refused"
	// Failed by a target's own answer.
	Failed Kind = "failed"
	// Cut off before its end.
	Cut Kind = "cut"
	// Late is a first byte after the route's goal.
	Late Kind = "late"
)

// Row is a number of requests with the same fate.
type Row struct {
	// Second is when they were received.
	Second  time.Time `json:"second"`
	Service string    `json:"service"`
	Kind    Kind      `json:"kind"`
	// Step is the step that decided, Cause a word or two on why.
	Step     string `json:"step"`
	Cause    string `json:"cause"`
	Requests int    `json:"requests"`
}

// Report is what was added up.
type Report struct {
	Rows []Row
	// Requests counts all requests, Lost those in Rows.
	Requests int
	Lost     int
	// Malformed counts lines of requests that could not be read, Dropped lost requests
	// beyond the bound of rows.
	Malformed int
	Omitted   int
}

// requestLog holds the fields of a request's line that are needed here.
type requestLog struct {
	Time        time.Time `json:"time"`
	Message     string    `json:"message"`
	Status      int       `json:"status"`
	Outcome     string    `json:"outcome"`
	FirstMs     int64     `json:"first_ms"`
	TotalMs     int64     `json:"total_ms"`
	GoalMs      int64     `json:"goal_ms"`
	Service     string    `json:"service"`
	Tries       int       `json:"tries"`
	ErrorStep   string    `json:"error_step"`
	WhyRoute    string    `json:"why_route"`
	WhyTeam     string    `json:"why_team"`
	WhyDispatch string    `json:"why_dispatch"`
}

// rowKey is a row without its count.
type rowKey struct {
	second  int64
	service string
	lossReason
}

// Aggregator adds up the requests of one or more logs. Text before the first brace of a line,
// such as a collector puts there, is passed over.
type Aggregator struct {
	rows   map[rowKey]int
	report Report
}

// New makes an empty sum.
func New() *Aggregator { return &Aggregator{rows: make(map[rowKey]int)} }

// ReadLog adds a log up to its end.
func (s *Aggregator) ReadLog(r io.Reader) error {
	lines := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			s.report.Malformed++
			err = skipLine(lines)
		} else {
			s.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// skipLine reads to the end of a line.
func skipLine(r *bufio.Reader) error {
	for {
		if _, err := r.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// addLine takes one line.
func (s *Aggregator) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(requestMessage)) {
		return
	}
	var l requestLog
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Message != requestMessage {
		s.report.Malformed++
		return
	}
	s.report.Requests++
	f, lost := l.classify()
	if !lost {
		return
	}
	s.report.Lost++
	received := l.Time.Add(-time.Duration(l.TotalMs) * time.Millisecond)
	k := rowKey{second: received.Unix(), service: l.Service, lossReason: f}
	if _, known := s.rows[k]; !known && len(s.rows) >= maxRows {
		s.report.Omitted++
		return
	}
	s.rows[k]++
}

// Report returns what was added up so far, ordered by second, then the largest first.
func (s *Aggregator) Report() Report {
	r := s.report
	for k, n := range s.rows {
		r.Rows = append(r.Rows, Row{
			Second: time.Unix(k.second, 0).UTC(), Service: k.service, Kind: k.kind, Step: k.step, Cause: k.cause, Requests: n,
		})
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(
			a.Second.Compare(b.Second), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Cause, b.Cause))
	})
	return r
}

// lossReason is how and why a request was lost.
type lossReason struct {
	kind  Kind
	step  string
	cause string
}

// classify tells how the request was lost; false if it was served in time.
func (l *requestLog) classify() (f lossReason, lost bool) {
	switch {
	case l.Outcome == "cut":
		return lossReason{Cut, l.ErrorStep, "the answer broke off"}, true
	case l.Outcome != "answered":
		return lossReason{Refused, l.refusingStep(), l.Outcome}, true
	case l.Status >= minServerError:
		return lossReason{Failed, "target", "the target's own answer"}, true
	case l.GoalMs > 0 && l.FirstMs > l.GoalMs:
		step, cause := l.delayCause()
		return lossReason{Late, step, cause}, true
	}
	return lossReason{}, false
}

// refusingStep is the step whose reason names the refusal's code.
func (l *requestLog) refusingStep() string {
	for _, step := range []struct{ name, why string }{{"route", l.WhyRoute}, {"team", l.WhyTeam}, {"dispatch", l.WhyDispatch}} {
		if strings.Contains(step.why, l.Outcome+":") {
			return step.name
		}
	}
	return "request"
}

// delayCauses are the reasons that tell what a late request waited for, the first that applies
// counts.
var delayCauses = []struct{ text, step, cause string }{
	{"waited for the first routing table", "route", "no routing table after a start"},
	{"waited for a target after", "dispatch", "no target known after a start"},
	{"resumed after event", "dispatch", "the stream was resumed"},
}

func (l *requestLog) delayCause() (step, cause string) {
	for _, d := range delayCauses {
		if strings.Contains(l.WhyRoute, d.text) || strings.Contains(l.WhyDispatch, d.text) {
			return d.step, d.cause
		}
	}
	if l.Tries > 1 {
		return "dispatch", "tried at more than one target"
	}
	return "target", "the target's first byte"
}
