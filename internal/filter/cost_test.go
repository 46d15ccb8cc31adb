package filter

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// costPicker counts the first events of the requests that it selects targets for.
type costPicker struct {
	numberedPicker
	requests    []cost.Request
	firstEvents int
}

func (p *costPicker) Pick(ctx context.Context, r balance.Request) (balance.Choice, error) {
	c, err := p.numberedPicker.Pick(ctx, r)
	p.requests = append(p.requests, r.Cost)
	c.FirstEvent = func() { p.firstEvents++ }
	return c, err
}

// TestFirstEventOfAStreamIsObserved guards against costs that are learned from the header or a
// comment of a stream, which an engine sends before it has read the prompt.
func TestFirstEventOfAStreamIsObserved(t *testing.T) {
	p := &costPicker{numberedPicker: numberedPicker{n: 1, outcomes: make(map[string]balance.Outcome)}}
	x := routedExchange(routing.Stream, true)
	x.Prompt = []PromptPart{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 40}}
	x.Demand.LengthHint = 70
	s := &script{t: t, tries: []scriptedTarget{{status: http.StatusOK, events: ": comment\n\nid: 1\ndata: x\n\n"}}}
	if err := newTestDispatch(p).Handle(t.Context(), x, s.next); err != nil {
		t.Fatal(err)
	}
	if p.firstEvents != 0 {
		t.Error("the header of a stream counts as its first event")
	}
	_, _ = io.ReadAll(x.Answer.Body)
	if p.firstEvents != 1 {
		t.Errorf("%d first events were observed, want one", p.firstEvents)
	}
	want := cost.Request{Route: x.Route.Name, PromptTokens: 540, SharedTokens: 500, Hint: 70}
	if p.requests[0] != want {
		t.Errorf("the request is described as %+v, want %+v", p.requests[0], want)
	}
}
