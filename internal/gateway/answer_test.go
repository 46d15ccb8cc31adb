package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/relay"
)

// TestTargetFailed checks which responses count as failures of the target. A caller
// that leaves during a stream does not count against the target, unless the stream had
// stalled. The case "out of order" stands for any other error.
func TestTargetFailed(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		silence time.Duration
		want    bool
	}{
		"whole":                          {nil, time.Minute, false},
		"the caller can't be written to": {fmt.Errorf("%w: reset", relay.ErrCallerWrite), 0, false},
		"the caller left":                {forward.ErrCallerGone, 100 * time.Millisecond, false},
		"left after a long pause":        {forward.ErrCallerGone, 2 * time.Second, true},
		"cut by the target":              {forward.ErrTruncated, 0, true},
		"silent":                         {forward.ErrSilent, 0, true},
		"out of order":                   {errors.New("order"), 0, true},
	} {
		if got := targetFailed(c.err, c.silence); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// TestPromptText checks that the log line of a request lists the parts of its prompt in
// order, and that a prompt with many parts cannot make the line unbounded.
func TestPromptText(t *testing.T) {
	if got := promptText([]filter.PromptPart{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 2}}); got != "a,b" {
		t.Errorf("%q, want the two ids in order", got)
	}
	long := make([]filter.PromptPart, 1000)
	for i := range long {
		long[i].ID = "0123456789abcdef"
	}
	if got := promptText(long); len(got) > 2*maxLoggedPrompt {
		t.Errorf("%d bytes for %d parts", len(got), len(long))
	}
}
