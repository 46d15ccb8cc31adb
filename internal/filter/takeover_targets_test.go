package filter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// serverPicker selects one of several HTTP servers.
type serverPicker struct {
	mu    sync.Mutex
	picks *numberedPicker
	addrs []string
}

func (p *serverPicker) Pick(ctx context.Context, r balance.Request) (balance.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.addrs {
		if id := fmt.Sprint("t", i); len(r.Only) > 0 && !slices.Contains(r.Only, id) {
			r.Exclude = append(slices.Clone(r.Exclude), id)
		}
	}
	c, err := p.picks.Pick(ctx, r)
	if err != nil {
		return c, err
	}
	var i int
	if _, err := fmt.Sscanf(c.Target.Id, "t%d", &i); err != nil {
		return c, err
	}
	c.Target.Addr = p.addrs[i]
	c.Done = func(balance.Outcome) {}
	return c, nil
}

// streamTurn is what a target does with one request for a stream of streamLength events, in this
// order: silent before its header for wait, refuses, sends up to its event, is silent for then,
// sends up to its event andThen, and breaks off or is silent for good.
type streamTurn struct {
	wait, then      time.Duration
	upTo, andThen   int
	refuses, breaks bool
}

const streamLength = 6

func (s streamTurn) serve(w http.ResponseWriter, r *http.Request) {
	var last int
	if id := r.Header.Get("Last-Event-Id"); id != "" {
		fmt.Sscan(id, &last)
	}
	pause(r, s.wait)
	if s.refuses {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	send := func(upTo int) {
		fmt.Fprint(w, events(last+1, upTo))
		_ = http.NewResponseController(w).Flush()
		last = max(last, upTo)
	}
	send(s.upTo)
	if last == streamLength {
		return
	}
	pause(r, s.then)
	send(s.andThen)
	if s.breaks {
		panic(http.ErrAbortHandler)
	}
	pause(r, time.Minute)
}

func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// TestStreamsStopBetweenTargets guards against a stream that has no target left although one of
// two could go on with it, after the request was sent to both, and against a stream that runs at
// more targets than its route allows.
func TestStreamsStopBetweenTargets(t *testing.T) {
	const dark = time.Minute
	sound := streamTurn{wait: 250 * time.Millisecond, upTo: streamLength}
	for name, c := range map[string]struct {
		maxTargets int
		// targets lists the turns of each target; the last one is repeated.
		targets [][]streamTurn
	}{
		"the first goes on and breaks off": {3, [][]streamTurn{
			{{upTo: 2, then: 1700 * time.Millisecond, andThen: 3, breaks: true}}, {sound},
		}},
		"the first goes on and breaks off, two targets allowed": {2, [][]streamTurn{
			{{upTo: 2, then: 1700 * time.Millisecond, andThen: 3, breaks: true}}, {sound}, {sound},
		}},
		"the first goes on and stays silent": {3, [][]streamTurn{
			{{upTo: 2, then: 1700 * time.Millisecond, andThen: 3}}, {sound},
		}},
		"the first is dark, the next one late": {3, [][]streamTurn{
			{{upTo: 2, then: dark}, {wait: dark}}, {{wait: 1800 * time.Millisecond, upTo: streamLength}},
		}},
		"the next one is dark, the first goes on": {2, [][]streamTurn{
			{{upTo: 2, then: dark}, sound}, {{wait: dark}}, {sound},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			picker := &serverPicker{picks: &numberedPicker{n: len(c.targets), outcomes: make(map[string]balance.Outcome)}}
			var mu sync.Mutex
			ran := make(map[int]bool)
			for i, turns := range c.targets {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
					mu.Lock()
					turn := turns[0]
					if len(turns) > 1 {
						turns = turns[1:]
					}
					ran[i] = true
					mu.Unlock()
					turn.serve(w, r)
				}))
				t.Cleanup(server.Close)
				picker.addrs = append(picker.addrs, server.Listener.Addr().String())
			}
			x := routedExchange(routing.Stream, true)
			x.Method, x.URI, x.Header = http.MethodGet, "/x", http.Header{}
			x.Route.MaxTargets = c.maxTargets
			x.Deadline = time.Now().Add(12 * time.Second)
			d := newTestDispatch(picker)
			client := forward.New(forward.Config{})
			t.Cleanup(client.Close)
			ctx, cancel := context.WithDeadline(t.Context(), x.Deadline)
			defer cancel()
			send := &Forward{Sender: client, Timeouts: func(x *Exchange) Timeouts { return TryTimeouts(x, time.Now()) }}
			err := d.Handle(ctx, x, func(ctx context.Context, x *Exchange) error {
				x.Extra = http.Header{"Last-Event-Id": {x.LastEvent}}
				return send.Handle(ctx, x, func(context.Context, *Exchange) error { return nil })
			})
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(x.Answer.Body)
			x.Answer.Body.Close()
			x.End()
			if want := events(1, streamLength); err != nil || strings.TrimSpace(string(got)) != strings.TrimSpace(want) {
				t.Errorf("read %q with %v, want %q; %v", got, err, want, x.Reasons())
			}
			mu.Lock()
			defer mu.Unlock()
			if len(ran) > c.maxTargets {
				t.Errorf("the request ran at %d targets, %d are allowed", len(ran), c.maxTargets)
			}
		})
	}
}
