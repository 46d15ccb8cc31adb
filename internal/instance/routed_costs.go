package instance

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// stepCost is the name of this processing step in log lines and metrics.
const stepCost = "cost"

// invalidLoadLogInterval is the minimum time between two log lines about invalid load reports,
// which a target may send with each answer.
const invalidLoadLogInterval = 10 * time.Second

// estimateErrorBuckets are the histogram buckets of the errors of estimates, from 2 ms to 4 s.
var estimateErrorBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 12)

// costReports holds the metrics of the estimates of costs.
type costReports struct {
	// under and over hold by how much the first events of requests came later or earlier than
	// estimated.
	under   tally.Histogram
	over    tally.Histogram
	unusual tally.Gauge
	reports tally.Counter
	invalid tally.Counter
}

func newCostReports(scope tally.Scope) *costReports {
	s := scope.SubScope(stepCost)
	return &costReports{
		under:   s.Histogram("first_event_underestimate", estimateErrorBuckets),
		over:    s.Histogram("first_event_overestimate", estimateErrorBuckets),
		unusual: s.Gauge("unusual_targets"),
		reports: s.Counter("pace_reports"),
		invalid: s.Counter("invalid_reports"),
	}
}

// recordEstimate records the error of an estimate of the time to the first event.
func (c *costReports) recordEstimate(expected, observed time.Duration) {
	if observed > expected {
		c.under.RecordDuration(observed - expected)
	} else {
		c.over.RecordDuration(expected - observed)
	}
}

// applyLoad applies the load report in a target's response.
func (in *Routed) applyLoad(target *pb.TargetStatus, requestID string, h filter.Hints) {
	if h.InvalidLoad != "" {
		in.costs.invalid.Inc(1)
		in.logInvalidLoad(target, requestID, h.InvalidLoad)
	}
	if h.Load.PacePercent == 0 {
		return
	}
	in.costs.reports.Inc(1)
	if in.balancer.ObservePace(target, h.Load.PacePercent) {
		select {
		case in.paceChanged <- struct{}{}:
		default:
		}
	}
}

func (in *Routed) logInvalidLoad(target *pb.TargetStatus, requestID, text string) {
	now, last := time.Now().UnixNano(), in.invalidLoadAt.Load()
	if now-last < int64(invalidLoadLogInterval) || !in.invalidLoadAt.CompareAndSwap(last, now) {
		return
	}
	in.logger.Warn().Str("step", stepCost).Str("peer", target.Id).Str("request_id", requestID).Str("text", text).
		Msg("a target reports a load that is not three or four numbers")
}

// seenPaces returns the paces to send with the counts of the given number of targets and limits.
func (in *Routed) seenPaces(collector bool, targets, limits int) []cost.Report {
	return in.balancer.SeenPaces(collector, member.MaxPaces(targets, limits))
}
