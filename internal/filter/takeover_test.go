package filter

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// closeTime records when it was closed.
type closeTime struct {
	began  time.Time
	closed time.Duration
}

func (c *closeTime) Close() error {
	c.closed = time.Since(c.began)
	return nil
}

// TestTheOnlyTargetOfAStreamIsGivenUp guards against a stream that loses its silent target
// before another one accepts it, without a way back, and against two targets that run a stream
// for longer than takeoverOverlap.
func TestTheOnlyTargetOfAStreamIsGivenUp(t *testing.T) {
	const never, nextSilence = time.Hour, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		// sent lists when the request is sent to a next target, event when the silent target
		// sends an event, accepted when the next target accepts the request.
		sent            []time.Duration
		event, accepted time.Duration
		mayReturn       bool
		// closed is when the response of the silent target is closed, abandoned when the
		// next target is given up, for cause; zero means never.
		closed, abandoned time.Duration
		cause             error
	}{
		"the next target accepts at once": {
			sent: []time.Duration{0}, event: never, accepted: 200 * time.Millisecond, mayReturn: true,
		},
		"the silent target goes on": {
			sent: []time.Duration{0}, event: 200 * time.Millisecond, accepted: never, mayReturn: true,
			abandoned: 200 * time.Millisecond, cause: forward.ErrAbandoned,
		},
		"the next target accepts late": {
			sent: []time.Duration{0}, event: never, accepted: time.Second, mayReturn: true,
			closed: takeoverOverlap,
		},
		"the next target is silent too": {
			sent: []time.Duration{0}, event: never, accepted: never, mayReturn: true,
			closed: takeoverOverlap, abandoned: nextSilence, cause: forward.ErrSilent,
		},
		"no way back": {
			sent: []time.Duration{0}, event: never, accepted: time.Second,
			abandoned: takeoverOverlap, cause: forward.ErrAbandoned,
		},
		"connections to the next target hang": {
			event: never, accepted: never, mayReturn: true,
		},
		"the second of two next targets is silent": {
			sent: []time.Duration{0, time.Second}, event: never, accepted: never, mayReturn: true,
			closed: takeoverOverlap, abandoned: time.Second + nextSilence, cause: forward.ErrSilent,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				current := &closeTime{began: time.Now()}
				var abandoned time.Duration
				took := &takeover{
					current:          current,
					giveUpNext:       cancel,
					mayGiveUpCurrent: func() bool { return c.mayReturn },
					nextSilence:      nextSilence,
				}
				context.AfterFunc(ctx, func() { abandoned = time.Since(current.began) })
				for _, at := range c.sent {
					time.AfterFunc(at, took.onSend)
				}
				time.AfterFunc(c.event, took.onEvent)
				time.AfterFunc(c.accepted, took.end)
				time.Sleep(time.Minute)
				took.end()
				synctest.Wait()
				if current.closed != c.closed || abandoned != c.abandoned {
					t.Errorf("closed after %v, next given up after %v; want %v, %v", current.closed, abandoned, c.closed, c.abandoned)
				}
				if !errors.Is(context.Cause(ctx), c.cause) {
					t.Errorf("cause %v, want %v", context.Cause(ctx), c.cause)
				}
				cancel(nil)
			})
		})
	}
}

// TestTargetLeftByATakeoverResumes guards against a stream that is cut when the target that took
// it over breaks off, although the one it left may go on and no other takes the request.
func TestTargetLeftByATakeoverResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaksOff := scriptedTarget{status: 200, events: events(3, 3), cut: errCutHere}
		s := &script{t: t, tries: []scriptedTarget{{status: 200}, breaksOff, {status: 200, events: events(4, 5)}}}
		picker := &numberedPicker{n: 2, outcomes: make(map[string]balance.Outcome)}
		if got := s.readStalled(picker, 3, 20*time.Second); len(s.tries) > 0 || !strings.HasSuffix(got, events(4, 5)) {
			t.Errorf("%d tries were not made; read %q", len(s.tries), got)
		}
	})
}
