package gateway

import (
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// result is how a request ended.
type result struct {
	status  int
	outcome filter.Outcome
	refused bool
	// code and step say why the request was refused.
	code string
	step string
	// firstByte is the time from receipt of the request to the first byte of the answer;
	// zero if there was none.
	firstByte time.Duration
	// err is why the answer or the rejection was not written completely; nil if it was.
	err error
}

// finish counts, logs and reports a finished request. If the answer had no first byte,
// the total time takes its place.
func (g *Gateway) finish(x *filter.Exchange, res result) {
	total := time.Since(x.Received)
	if res.firstByte == 0 {
		res.firstByte = total
	}
	g.tries.Inc(int64(x.Tries))
	g.firstByte.RecordDuration(res.firstByte)
	g.outcomes.Tagged(map[string]string{"outcome": outcomeName(res)}).Counter("finished").Inc(1)
	g.log(x, res, total)
	if g.cfg.Observer != nil {
		g.cfg.Observer.Observe(newRecord(x, res, total))
	}
}

func outcomeName(res result) string {
	switch {
	case res.refused:
		return res.code
	case res.err != nil:
		return "cut"
	default:
		return "answered"
	}
}

func newRecord(x *filter.Exchange, res result, total time.Duration) *filter.Record {
	var goal time.Duration
	if x.Route != nil {
		goal = x.Route.Goal
	}
	return &filter.Record{
		RequestID: x.ID,
		// Records of routed requests have the team in place of the customer.
		Customer: teamName(x),
		Service:  x.Demand.Service,
		Goal:     goal,
		Start:    x.Received,
		// Time to the first byte, or the total time if there was none.
		FirstToken: res.firstByte,
		Total:      total,
		Status:     res.status,
		Outcome:    res.outcome,
		Refused:    res.refused,
		Complete:   res.err == nil,
		Target:     targetID(x),
		Tries:      x.Tries,
		Revision:   x.Revision,
		Reasons:    x.Reasons(),
	}
}

func teamName(x *filter.Exchange) string {
	if x.Team == nil {
		return ""
	}
	return x.Team.Name
}

func targetID(x *filter.Exchange) string {
	if x.Grant == nil {
		return ""
	}
	return x.Grant.Target.GetId()
}

// log writes one line for a request, with the reasons of each step.
func (g *Gateway) log(x *filter.Exchange, res result, total time.Duration) {
	level := log.InfoLevel
	if res.err != nil || res.refused {
		level = log.WarnLevel
	}
	e := g.cfg.Logger.WithLevel(level)
	if e == nil {
		return
	}
	e.Str("step", "request").Str("request_id", x.ID).Int("status", res.status).
		Str("outcome", outcomeName(res)).Str("run", string(res.outcome)).
		Int64("first_ms", res.firstByte.Milliseconds()).Int64("total_ms", total.Milliseconds()).
		Str("service", x.Demand.Service).Str("team", teamName(x)).Str("peer", targetID(x)).
		Int("tries", x.Tries).Uint64("routing_table", x.Revision)
	if x.Route != nil {
		e.Str("route", x.Route.Name).Int64("goal_ms", x.Route.Goal.Milliseconds())
	}
	if len(x.Prompt) > 0 {
		e.Str("prompt", promptText(x.Prompt))
	}
	// Refusals under load must stay cheap, so those before any try are not hashed.
	if level == log.WarnLevel && (x.Tries > 0 || res.code == filter.CodeRequestHeld) {
		e.Str("fingerprint", x.Fingerprint())
	}
	for _, r := range x.Reasons() {
		e.Str("why_"+r.Step, r.Target+" "+r.Text)
	}
	if res.err != nil {
		e.Str("error_step", errs.Step(res.err)).Err(res.err)
	}
	e.Msg("request finished")
}

// maxLoggedPrompt bounds the part ids in a log line, in bytes.
const maxLoggedPrompt = 256

// promptText returns the ids of a prompt's parts in order, separated by commas, up to
// maxLoggedPrompt bytes.
func promptText(parts []filter.PromptPart) string {
	var text strings.Builder
	for i, p := range parts {
		if text.Len()+len(p.ID) > maxLoggedPrompt {
			text.WriteString(",...")
			break
		}
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(p.ID)
	}
	return text.String()
}
