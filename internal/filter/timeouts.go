package filter

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// firstByteDivisor divides the time left. A repeatable request waits for a target's
// first byte only for the quotient, or for twice the latency objective if that is
// longer, so that time remains for other targets.
const firstByteDivisor = 3

// firstByteLimit returns how long a repeatable request waits for a target's first byte.
func firstByteLimit(x *Exchange, now time.Time) time.Duration {
	left := x.Deadline.Sub(now)
	return min(left, max(2*x.Route.Goal, left/firstByteDivisor))
}

// TryTimeouts returns the timeouts of one try of a routed request. A request that may
// be repeated at another target doesn't spend all of its time on one target. All other
// requests, and the last permitted try, may use the time until the deadline. So may the
// rest of a response that can't be resumed, once its body has begun.
func TryTimeouts(x *Exchange, now time.Time) Timeouts {
	left := x.Deadline.Sub(now)
	t := Timeouts{FirstByte: left, BetweenBytes: left}
	if !x.Idempotent || x.OtherTargets == 0 || x.Tries >= x.Route.MaxTargets {
		return t
	}
	t.FirstByte = firstByteLimit(x, now)
	if x.Route.Kind == routing.Stream {
		t.BetweenBytes = max(streamSilenceGaps*x.Route.GapGoal, minStreamSilence)
	}
	return t
}
