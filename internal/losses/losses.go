// Package losses counts, from the request log of routers, the requests that were
// refused, failed, cut off or late, grouped by second, service, step and cause. It reads
// the logs from an io.Reader and opens no files.
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
	// maxLineBytes bounds the length of a line. Longer lines are skipped and counted in
	// Report.Malformed.
	maxLineBytes = 256 << 10
	// maxRows bounds the number of rows. Lost requests that would need a further row are
	// counted in Report.Omitted.
	maxRows = 1 << 16
	// requestMessage is the message of the line that a router logs for each request.
	requestMessage = "request finished"
	// minServerError is the lowest HTTP status that counts as a failure of the target.
	minServerError = 500
)

// Kind is the way in which a request was lost. A late request counts as lost.
type Kind string

// Kinds of lost requests.
const (
	// Refused requests got an error response from a router instead of a target's answer.
	// Some of them may have run, such as requests whose target failed.
	Refused Kind = "refused"
	// Failed requests got a server error from the target.
	Failed Kind = "failed"
	// Cut requests got a truncated answer.
	Cut Kind = "cut"
	// Late requests got their first byte after the latency objective of the route.
	Late Kind = "late"
)

// Row counts the requests that were lost in the same second for the same reason.
type Row struct {
	// Second is the time at which the requests were received.
	Second  time.Time `json:"second"`
	Service string    `json:"service"`
	Kind    Kind      `json:"kind"`
	// Step is the processing step at which the requests were lost, such as "route" or
	// "target". Cause is a code or a short phrase.
	Step     string `json:"step"`
	Cause    string `json:"cause"`
	Requests int    `json:"requests"`
}

// Report is the result of an Aggregator.
type Report struct {
	Rows []Row
	// Requests counts all requests in the logs, Lost the refused, failed, cut and late
	// ones.
	Requests int
	Lost     int
	// Malformed counts the request lines that could not be decoded and all lines over
	// the length bound. Omitted counts the lost requests that are in no row because the
	// bound on the number of rows was reached.
	Malformed int
	Omitted   int
}

// requestLog holds the fields of a request's log line that determine how it was lost.
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

// rowKey identifies a row.
type rowKey struct {
	second  int64
	service string
	lossReason
}

// Aggregator counts the requests of one or more logs. It ignores text before the first
// brace of a line, such as the prefix that a log shipper adds.
type Aggregator struct {
	rows   map[rowKey]int
	report Report
}

// New returns an empty Aggregator.
func New() *Aggregator { return &Aggregator{rows: make(map[rowKey]int)} }

// ReadLog adds the requests of a log, which it reads up to EOF.
func (a *Aggregator) ReadLog(r io.Reader) error {
	lines := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			a.report.Malformed++
			err = skipLine(lines)
		} else {
			a.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// skipLine discards the rest of a line.
func skipLine(r *bufio.Reader) error {
	for {
		if _, err := r.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// addLine counts the request that a line describes; it ignores other lines.
func (a *Aggregator) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(requestMessage)) {
		return
	}
	var l requestLog
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Message != requestMessage {
		a.report.Malformed++
		return
	}
	a.report.Requests++
	reason, lost := l.classify()
	if !lost {
		return
	}
	a.report.Lost++
	received := l.Time.Add(-time.Duration(l.TotalMs) * time.Millisecond)
	k := rowKey{second: received.Unix(), service: l.Service, lossReason: reason}
	if _, known := a.rows[k]; !known && len(a.rows) >= maxRows {
		a.report.Omitted++
		return
	}
	a.rows[k]++
}

// Report returns the counts so far. The rows are ordered by second and then by
// descending number of requests.
func (a *Aggregator) Report() Report {
	r := a.report
	for k, n := range a.rows {
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

// lossReason says how a request was lost, at which step and by which cause.
type lossReason struct {
	kind  Kind
	step  string
	cause string
}

// classify returns how the request was lost. The result lost is false if the request was
// served in time.
func (l *requestLog) classify() (reason lossReason, lost bool) {
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

// refusingStep returns the step that refused the request: the first one whose reason
// contains the refusal code, or "request" if none does.
func (l *requestLog) refusingStep() string {
	for _, step := range []struct{ name, why string }{{"route", l.WhyRoute}, {"team", l.WhyTeam}, {"dispatch", l.WhyDispatch}} {
		if strings.Contains(step.why, l.Outcome+":") {
			return step.name
		}
	}
	return "request"
}

// delayCauses maps a text in the reasons of a late request to the step and the cause of
// the delay. The first text that matches decides.
var delayCauses = []struct{ text, step, cause string }{
	{"waited for the first routing table", "route", "no routing table after a start"},
	{"waited for a target after", "dispatch", "no target known after a start"},
	{"resumed after event", "dispatch", "the stream was resumed"},
}

// delayCause returns the step and the cause of a late first byte.
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
