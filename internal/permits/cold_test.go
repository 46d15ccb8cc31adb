package permits

import (
	"slices"
	"testing"
	"time"
)

// TestTwoOwnersOfAColdTarget guards against more requests than the bound while two owners that
// each reach all routers grant permits under pressure, and while requests arrive late.
func TestTwoOwnersOfAColdTarget(t *testing.T) {
	for _, b := range []ColdBound{ColdBoundOf(11, nil, nil), {PerSecond: 2, Overrun: 1.5, Slack: 5}, {PerSecond: 200, Overrun: 1, Slack: 2}} {
		now := time.Unix(1000, 0)
		owners := []*Limiter{NewLimiter(now.Add(-time.Minute)), NewLimiter(now.Add(-time.Minute))}
		for _, o := range owners {
			o.SeeRouters(now, 70)
			o.GrantCold(now, 1, nil, 70, b)
		}
		now = now.Add(5 * time.Second)
		var arrivals []time.Time
		for i := range 3000 {
			now = now.Add(time.Millisecond)
			for _, o := range owners {
				// Permits of the first two seconds are used late, later ones at once.
				late := coldDelay * time.Duration(max(0, 2000-i)) / 2000
				for o.GrantCold(now, 1, nil, 70, b).Granted {
					arrivals = append(arrivals, now.Add(late))
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		worst := 0
		for i, first := range arrivals {
			end := slices.IndexFunc(arrivals[i:], func(at time.Time) bool { return at.Sub(first) >= time.Second })
			if end >= 0 {
				worst = max(worst, end)
			}
		}
		if most := b.Overrun*b.PerSecond + b.Slack; float64(worst) > most || float64(worst) < most/4 {
			t.Errorf("%+v: two owners let %d requests arrive in a second, want at most %.1f and not far less", b, worst, most)
		}
	}
}

// TestColdPermitsOfPartialOwners guards against permits of owners that know or reach too few of
// the routers, and against waits that send all denied routers back at once.
func TestColdPermitsOfPartialOwners(t *testing.T) {
	b, now := ColdBoundOf(11, nil, nil), time.Unix(1000, 0)
	granted := func(l *Limiter, fleet int) (n int) {
		for i := range 2000 {
			if l.GrantCold(now.Add(time.Duration(i)*time.Millisecond), 1, nil, fleet, b).Granted {
				n++
			}
		}
		return n
	}
	half, few := NewLimiter(now.Add(-time.Minute)), NewLimiter(now.Add(-time.Minute))
	half.SeeRouters(now, 35)
	few.SeeRouters(now, 4)
	if n := granted(half, 70); n < 5 || n > 8 {
		t.Errorf("an owner that reaches half of the routers granted %d permits in 2 s, want half of %.0f", n, 2*b.Rate())
	}
	if n := granted(few, 70); n > 0 {
		t.Errorf("an owner that reaches 4 of 70 routers granted %d permits", n)
	}
	started := NewLimiter(now)
	if a := started.GrantCold(now, 1, nil, 1, b); a.Granted || a.Wait != startTime {
		t.Errorf("an owner that has just started answered %+v", a)
	}
	owner := NewLimiter(now.Add(-time.Minute))
	first, second := owner.GrantCold(now, 1, nil, 1, b), owner.GrantCold(now, 1, nil, 1, b)
	if first.Granted || second.Granted || second.Wait <= first.Wait {
		t.Errorf("a new owner answered %+v and %+v, want denials with increasing waits", first, second)
	}
}
