package announce

import (
	"fmt"
	"testing"
	"time"
)

func TestPaceKeepsAnswersWithinTheirRate(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		targets int
		want    time.Duration
	}{{1, DefaultEvery}, {2, DefaultEvery}, {4, 4 * replyBytes * time.Second / replyRate}, {100, time.Second}} {
		p := newPacer(DefaultEvery, DefaultLease)
		var got time.Duration
		for range 3 {
			for i := range c.targets {
				got = p.every(fmt.Sprint(i), now)
			}
			now = now.Add(DefaultLease + time.Millisecond)
		}
		if got != c.want {
			t.Errorf("%d targets announce every %v, want %v", c.targets, got, c.want)
		}
	}
	p := newPacer(DefaultEvery, DefaultLease)
	for i := range 100 {
		p.every(fmt.Sprint(i), now)
	}
	for range 3 {
		now = now.Add(DefaultLease + time.Millisecond)
		if got := p.every("0", now); got != DefaultEvery && p.previous < 2 {
			t.Errorf("after the others went away: every %v", got)
		}
	}
	if got := p.every("0", now); got != DefaultEvery {
		t.Errorf("after the others went away for good: every %v", got)
	}
}
