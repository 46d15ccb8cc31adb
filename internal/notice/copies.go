package notice

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// spares is the number of holders beyond the needed ones that are asked at once, so that
	// a single slow disk or lost process costs no time.
	spares = 1
	// retryInterval is the time after which a further holder is asked.
	retryInterval = 150 * time.Millisecond
)

// ErrTooFewCopies means that too few disks hold a notice.
var ErrTooFewCopies = errors.New("too few disks hold the notice that the target leaves")

// Holder puts a notice on one disk and returns once it is there.
type Holder func(ctx context.Context) error

// Spread asks holders in their order until needed of them hold the notice. It returns an error
// that wraps ErrTooFewCopies if they don't before ctx ends.
func Spread(ctx context.Context, holders []Holder, needed int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(holders))
	asked, held := 0, 0
	ask := func(n int) {
		for ; n > 0 && asked < len(holders); n-- {
			hold := holders[asked]
			asked++
			go func() { results <- hold(ctx) }()
		}
	}
	ask(needed + spares)
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	var failures []error
	for held < needed {
		if len(failures)+held == len(holders) {
			return tooFew(held, needed, failures)
		}
		select {
		case err := <-results:
			if err == nil {
				held++
				continue
			}
			failures = append(failures, err)
			ask(1)
		case <-ticker.C:
			ask(1)
		case <-ctx.Done():
			return tooFew(held, needed, append(failures, context.Cause(ctx)))
		}
	}
	return nil
}

func tooFew(held, needed int, failures []error) error {
	return fmt.Errorf("%w: %d of %d: %w", ErrTooFewCopies, held, needed, errors.Join(failures...))
}
