package balance

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	fleetTick      = 50 * time.Millisecond
	fleetSeconds   = 45
	fleetWindow    = 10 * time.Second
	ticksPerWindow = int(fleetWindow / fleetTick)
	ticksPerSecond = int(time.Second / fleetTick)
)

// retryBudget is what a simulated router needs of its budget. The budget of the previous
// build implements it too.
type retryBudget interface {
	RecordRequest(service string)
	AllowRetry(service string) RetryDecision
}

// retryFleet simulates the routers of a fleet of which each request is declined by every
// engine, so that each router retries as often as its budget allows.
type retryFleet struct {
	limits  RetryLimits
	clock   time.Time
	rng     *rand.Rand
	routers []*retryRouter
	// perSecond is the number of requests of the service, summed over all routers.
	perSecond float64
	requests  []int
	retries   []int
}

type retryRouter struct {
	budget  retryBudget
	running bool
	// sees is the number of routers that this one knows.
	sees int
	// weight is the router's part of the requests, relative to the others.
	weight float64
}

func newRetryFleet(routers int, slack float64, perSecond float64, seed uint64) *retryFleet {
	f := &retryFleet{
		limits:    RetryLimits{Ratio: 0.2, Slack: slack, Window: fleetWindow},
		clock:     time.Unix(1000, 0),
		rng:       rand.New(rand.NewPCG(seed, 38)),
		perSecond: perSecond,
	}
	for range routers {
		f.add(routers)
	}
	return f
}

// add adds a router that knows the given number of routers.
func (f *retryFleet) add(sees int) {
	r := &retryRouter{running: true, sees: sees, weight: 1}
	f.routers = append(f.routers, r)
	f.start(r)
}

// start starts a router with a budget that has counted nothing.
func (f *retryFleet) start(r *retryRouter) {
	b := NewRetryBudget(f.limits, nil)
	b.now = func() time.Time { return f.clock }
	r.budget, r.running = b, true
}

// startPrevious starts a router of the previous build.
func (f *retryFleet) startPrevious(r *retryRouter) {
	r.budget, r.running = &previousRetryBudget{fleet: f, router: r}, true
}

// step simulates one tick: each request is sent, and repeated up to three times.
func (f *retryFleet) step() {
	f.clock = f.clock.Add(fleetTick)
	requests, retries, total := 0, 0, 0.0
	for _, r := range f.routers {
		if r.running {
			total += r.weight
		}
	}
	for _, r := range f.routers {
		if !r.running {
			continue
		}
		for range f.arrivals(f.perSecond * fleetTick.Seconds() * r.weight / total) {
			r.budget.RecordRequest("s")
			requests++
			for range 3 {
				if !r.budget.AllowRetry("s").Allowed {
					break
				}
				retries++
			}
		}
	}
	f.requests = append(f.requests, requests)
	f.retries = append(f.retries, retries)
}

// arrivals returns a random number with the given mean.
func (f *retryFleet) arrivals(mean float64) int {
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// check fails if the retries of all routers in some window exceed the limits. The limit of a
// window follows from its requests, those of the window before it or those of the one that
// begins half a window earlier, whichever are most.
func (f *retryFleet) check(t *testing.T) {
	t.Helper()
	sum := func(counts []int, from int) (n int) {
		for _, c := range counts[max(0, from):max(0, min(from+ticksPerWindow, len(counts)))] {
			n += c
		}
		return n
	}
	worst, at := 0.0, 0
	for from := 0; from+ticksPerWindow <= len(f.retries); from++ {
		requests := max(sum(f.requests, from), sum(f.requests, from-ticksPerWindow/2), sum(f.requests, from-ticksPerWindow))
		limit := f.limits.Ratio*float64(requests) + f.limits.Slack
		if over := float64(sum(f.retries, from)) - limit; over > worst {
			worst, at = over, from
		}
	}
	if worst > 0 {
		t.Errorf("%d retries in the %v from %v: %.1f more than allowed",
			sum(f.retries, at), fleetWindow, time.Duration(at)*fleetTick, worst)
	}
}

// previousRetryBudget is the budget of the build before: a window in memory, and a part of
// the slack by the number of known routers.
type previousRetryBudget struct {
	fleet   *retryFleet
	router  *retryRouter
	counted []previousCount
}

type previousCount struct {
	at    time.Time
	retry bool
}

func (b *previousRetryBudget) RecordRequest(string) {
	b.counted = append(b.counted, previousCount{at: b.fleet.clock})
}

func (b *previousRetryBudget) AllowRetry(string) RetryDecision {
	requests, retries := 0, 0
	for _, c := range b.counted {
		switch {
		case b.fleet.clock.Sub(c.at) >= fleetWindow:
		case c.retry:
			retries++
		default:
			requests++
		}
	}
	limits := b.fleet.limits
	if float64(retries+1) > 0.85*limits.Ratio*float64(requests)+0.6*limits.Slack/float64(b.router.sees) {
		return RetryDecision{}
	}
	b.counted = append(b.counted, previousCount{at: b.fleet.clock, retry: true})
	return RetryDecision{Allowed: true}
}

// TestRetriesOfAllRoutersStayWithinTheLimit guards against more retries of a service than its
// limit allows, summed over routers that can't reach each other, that have forgotten what
// they sent, that are new, that leave, or whose callers move.
func TestRetriesOfAllRoutersStayWithinTheLimit(t *testing.T) {
	second := func(n float64) int { return int(n * float64(ticksPerSecond)) }
	cut := func(f *retryFleet, sees int) {
		for _, r := range f.routers {
			r.sees = sees
		}
	}
	// kill kills the routers from the given part of the list on, restart starts them again.
	kill := func(f *retryFleet, from int) {
		for _, r := range f.routers[from:] {
			r.running = false
		}
	}
	restart := func(f *retryFleet, from int) {
		for _, r := range f.routers[from:] {
			f.start(r)
		}
	}
	scenarios := map[string]func(f *retryFleet, n, tick int){
		"nothing else": func(*retryFleet, int, int) {},
		"cut off from each other": func(f *retryFleet, n, tick int) {
			switch tick {
			case second(15):
				cut(f, 1)
			case second(30):
				cut(f, n)
			}
		},
		"a few of them left on each side": func(f *retryFleet, n, tick int) {
			if tick == second(15) {
				cut(f, max(1, n/3))
			}
		},
		"killed in the middle of a window": func(f *retryFleet, n, tick int) {
			switch tick {
			case second(15), second(18):
				kill(f, n/3)
			case second(15.5), second(18.5):
				restart(f, n/3)
			}
		},
		"killed when the engines begin to decline": func(f *retryFleet, n, tick int) {
			switch tick {
			case second(1), second(2), second(3), second(4):
				restart(f, 0)
			}
		},
		"cut off and killed": func(f *retryFleet, n, tick int) {
			switch tick {
			case second(15):
				cut(f, 1)
			case second(18):
				kill(f, n/3)
			case second(18.5):
				restart(f, n/3)
			}
		},
		"restarted one after the other": func(f *retryFleet, n, tick int) {
			if per := ticksPerSecond / 4; tick >= second(15) && tick%per == 0 {
				f.start(f.routers[(tick/per)%len(f.routers)])
			}
		},
		"twice as many, which know few others": func(f *retryFleet, n, tick int) {
			switch tick {
			case second(15):
				for range n {
					f.add(1)
				}
			case second(20):
				cut(f, 2*n)
			}
		},
		"most leave": func(f *retryFleet, n, tick int) {
			switch tick {
			case second(16):
				kill(f, n/3)
			case second(19):
				cut(f, max(1, n/3))
			}
		},
		"callers move": func(f *retryFleet, n, tick int) {
			for i, r := range f.routers {
				if r.weight = 0.01; (i < n/2) == (tick/second(8)%2 == 0) {
					r.weight = 1
				}
			}
		},
		"the requests become few": func(f *retryFleet, n, tick int) {
			if tick == second(20) {
				f.perSecond /= 10
			}
		},
		"an upgrade in the middle of a storm": func(f *retryFleet, n, tick int) {
			switch every := max(1, second(15)/n); {
			case tick == 0:
				for _, r := range f.routers {
					f.startPrevious(r)
				}
			case tick >= second(15) && (tick-second(15))%every == 0 && (tick-second(15))/every < n:
				f.start(f.routers[(tick-second(15))/every])
			}
		},
	}
	sites := []struct {
		routers   int
		slack     float64
		perSecond float64
	}{{6, 52, 91}, {64, 168, 900}, {291, 622, 1236}, {291, 622, 400}}
	for _, site := range sites {
		for name, change := range scenarios {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d routers, %.0f requests per second/%s/seed %d", site.routers, site.perSecond, name, seed), func(t *testing.T) {
					f := newRetryFleet(site.routers, site.slack, site.perSecond, seed)
					for tick := range fleetSeconds * ticksPerSecond {
						change(f, site.routers, tick)
						f.step()
					}
					f.check(t)
				})
			}
		}
	}
}

// TestRacingRetriesSpendOneTokenEach guards against retries of concurrent requests that spend
// the same token.
func TestRacingRetriesSpendOneTokenEach(t *testing.T) {
	const requests, tries = 400, 8
	limits := RetryLimits{Ratio: 0.2, Slack: 1, Window: time.Hour}
	b := NewRetryBudget(limits, nil)
	var allowed atomic.Int64
	var work sync.WaitGroup
	for range requests {
		work.Go(func() {
			b.RecordRequest("s")
			for range tries {
				if b.AllowRetry("s").Allowed {
					allowed.Add(1)
				}
			}
		})
	}
	work.Wait()
	if n := float64(allowed.Load()); n > limits.Ratio*requests+limits.Slack || n == 0 {
		t.Errorf("%.0f retries for %d requests, at most %.0f may be allowed", n, requests, limits.Ratio*requests+limits.Slack)
	}
}

// TestReturnedRetryIsSpentOnce guards against retries that are lost although they were not
// sent, and against returned ones that add to the limit.
func TestReturnedRetryIsSpentOnce(t *testing.T) {
	const requests = 50
	b := NewRetryBudget(RetryLimits{Ratio: 0.2, Slack: 1, Window: time.Hour}, nil)
	for range requests {
		b.RecordRequest("s")
	}
	spend := func() (n int) {
		for b.AllowRetry("s").Allowed {
			n++
		}
		return n
	}
	saved := spend()
	b.ReturnRetry("s")
	if n := spend(); n != 1 {
		t.Errorf("%d retries after one was returned, want 1", n)
	}
	for range 2 * requests {
		b.ReturnRetry("s")
	}
	if n := spend(); n != saved {
		t.Errorf("%d retries saved after many were returned, want %d", n, saved)
	}
}
