package filter

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// firstByteDivisor is the part of the time left that a repeatable request waits
// for its first target.
const firstByteDivisor = 3

// TryTimeouts returns the bounds of one try of a routed request. A request that may
// be repeated elsewhere doesn't spend all of its time on one target.
func TryTimeouts(x *Exchange, now time.Time) Timeouts {
	left := x.Deadline.Sub(now)
	t := Timeouts{FirstByte: left, BetweenBytes: left}
	if !x.Idempotent || x.OtherTargets == 0 || x.Tries >= x.Route.MaxTargets {
		return t
	}
	t.FirstByte = min(left, max(2*x.Route.Goal, left/firstByteDivisor))
	if x.Route.Kind == routing.Stream {
		t.BetweenBytes = max(streamSilenceGaps*x.Route.GapGoal, minStreamSilence)
	}
	return t
}
