package filter

import (
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// costOf describes a request for the estimate of its work.
func costOf(x *Exchange) cost.Request {
	r := cost.Request{Route: x.Route.Name, PromptTokens: x.Demand.PromptTokens, Hint: x.Demand.LengthHint}
	if x.Team != nil {
		r.Team = x.Team.Name
	}
	if len(x.Prompt) == 0 {
		r.Path = x.Path
		return r
	}
	// The last part belongs to a single request or session, as in PromptKey.
	total := 0
	for i, p := range x.Prompt {
		total += p.Tokens
		if i < len(x.Prompt)-1 {
			r.SharedTokens += p.Tokens
		}
	}
	r.PromptTokens = max(r.PromptTokens, total)
	return r
}

// recordFirstEvent records the first event of the current try's answer, or the header of an
// answer that is no stream of events.
func (d *dispatch) recordFirstEvent() {
	if d.choice.FirstEvent != nil {
		d.choice.FirstEvent()
	}
}

// isEventAnswer reports whether the first event of an answer follows its header.
func (d *dispatch) isEventAnswer(h http.Header) bool {
	return d.x.Stream && forward.IsEventStream(h.Get("Content-Type"))
}
