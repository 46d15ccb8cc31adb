package permits

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(20261205, 0)
	os.Exit(m.Run())
}

const (
	// contact, ruleWindow, limitFactor and limitSlack are the platform's rule: a contact time
	// after a target names a limit, it gets in any window at most limitFactor times what the
	// limit allows, and limitSlack requests more.
	contact     = 3 * time.Second
	ruleWindow  = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5

	tick = 20 * time.Millisecond
	// detection is how long a router takes to notice that it no longer reaches another.
	detection    = 2 * time.Second
	viewInterval = 200 * time.Millisecond
	// maxLimits is the number of limits in one message.
	maxLimits = 64
	// askLimit is the number of permits that one request asks for.
	askLimit = 8
)

// simFleet simulates routers in front of targets that name limits. All routers together send
// requests to the service at a rate; each goes to a random target that takes it.
type simFleet struct {
	rng       *rand.Rand
	now       time.Time
	routers   []*simRouter
	targets   []*simTarget
	perSecond float64
	// changes counts the changes of which routers reach each other.
	changes int
	// lost is the fraction of messages that are lost.
	lost    float64
	refused int
	// asked counts the requests for permits that another router received.
	asked int
}

type simRouter struct {
	id      string
	limiter *Limiter
	running bool
	// side is the part of a split fleet in which the router is. gone holds since when the
	// router no longer reaches others. ids and byID are its view of the fleet.
	side      int
	gone      map[*simRouter]time.Time
	viewOf    int
	viewUntil time.Time
	ids       []string
	byID      map[string]*simRouter
	withheld  map[int]time.Time
}

type simTarget struct {
	limit    Limit
	namedAt  time.Time
	arrivals []time.Time
}

func newSimFleet(routers, targets int, perSecond float64, seed uint64) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 382)), now: time.Unix(1000, 0), perSecond: perSecond}
	for range routers {
		f.addRouter()
	}
	for range targets {
		f.targets = append(f.targets, &simTarget{})
	}
	return f
}

func (f *simFleet) addRouter() {
	r := &simRouter{id: fmt.Sprint("r", len(f.routers))}
	f.restart(r)
	f.routers = append(f.routers, r)
}

// restart starts a router that knows nothing but the others.
func (f *simFleet) restart(r *simRouter) {
	r.limiter, r.running = NewLimiter(f.now), true
	r.viewUntil = time.Time{}
	f.changes++
	r.gone, r.withheld = make(map[*simRouter]time.Time), make(map[int]time.Time)
}

// reaches reports whether messages between two routers arrive.
func (f *simFleet) reaches(a, b *simRouter) bool { return a.running && b.running && a.side == b.side }

// view returns the ids of the routers that r believes to reach.
func (f *simFleet) view(r *simRouter) (ids []string, byID map[string]*simRouter) {
	if r.viewOf == f.changes && f.now.Before(r.viewUntil) {
		return r.ids, r.byID
	}
	r.viewOf, r.viewUntil, r.ids, r.byID = f.changes, f.now.Add(time.Hour), nil, make(map[string]*simRouter)
	for _, other := range f.routers {
		if f.reaches(r, other) {
			delete(r.gone, other)
		} else if since, noticed := r.gone[other]; !noticed {
			r.gone[other] = f.now
			r.viewUntil = f.now.Add(viewInterval)
		} else if f.now.Sub(since) >= detection {
			continue
		} else {
			r.viewUntil = f.now.Add(viewInterval)
		}
		r.ids = append(r.ids, other.id)
		r.byID[other.id] = other
	}
	return r.ids, r.byID
}

// name makes a target name a limit, or none, from now on.
func (f *simFleet) name(l Limit, targets ...int) {
	for _, i := range targets {
		f.targets[i].limit, f.targets[i].namedAt = l, f.now
	}
}

// step simulates one tick.
func (f *simFleet) step() {
	f.now = f.now.Add(tick)
	var running []*simRouter
	for _, r := range f.routers {
		if r.running {
			running = append(running, r)
		}
	}
	if f.now.UnixMilli()%200 < tick.Milliseconds() {
		f.spread(running)
	}
	mean := f.perSecond * tick.Seconds()
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	for range n {
		f.request(running[f.rng.IntN(len(running))])
	}
}

// spread lets the first router that each router reaches collect the limits that it has seen,
// and tell it those that the collector knows.
func (f *simFleet) spread(running []*simRouter) {
	told := make(map[*simRouter][]Seen)
	for _, r := range running {
		ids, byID := f.view(r)
		r.limiter.SeeRouters(f.now, len(ids))
		i := slices.IndexFunc(ids, func(id string) bool { return f.reaches(r, byID[id]) })
		collector := byID[ids[i]]
		for _, seen := range r.limiter.TakeSeen(f.now, maxLimits) {
			collector.limiter.Learn(f.now, seen.Target, &seen.Observation)
		}
		if _, known := told[collector]; !known {
			told[collector] = collector.limiter.Spread(f.now, maxLimits)
		}
		for _, seen := range told[collector] {
			r.limiter.Learn(f.now, seen.Target, &seen.Observation)
		}
	}
}

// request sends one request from a router to a random target that takes it.
func (f *simFleet) request(r *simRouter) {
	asked := 0
	for _, i := range f.rng.Perm(len(f.targets)) {
		if f.now.Before(r.withheld[i]) {
			continue
		}
		target := uint32(i)
		if r.limiter.NeedsPermit(f.now, target) {
			if asked++; asked > askLimit {
				continue
			}
			if a := f.ask(r, target); !a.Granted {
				r.withheld[i] = f.now.Add(a.Wait)
				continue
			}
		}
		f.send(r, target)
		return
	}
	f.refused++
}

func (f *simFleet) ask(r *simRouter, target uint32) Answer {
	ids, byID := f.view(r)
	known := r.limiter.SeeRouters(f.now, len(ids))
	owner := byID[fleet.Owner(fmt.Sprint("limit/", target), ids)]
	latest := r.limiter.Latest(f.now, target)
	if owner == r {
		return r.limiter.Grant(f.now, target, latest, known)
	}
	if !f.reaches(r, owner) || f.rng.Float64() < f.lost {
		return r.limiter.Unanswered(f.now, target)
	}
	f.asked++
	ownerIDs, _ := f.view(owner)
	owner.limiter.SeeRouters(f.now, len(ownerIDs))
	a := owner.limiter.Grant(f.now, target, latest, known)
	if f.rng.Float64() < f.lost {
		return r.limiter.Unanswered(f.now, target)
	}
	r.limiter.Learn(f.now, target, a.Latest)
	return a
}

// send lets a request arrive at a target and reports the limit in the answer.
func (f *simFleet) send(r *simRouter, target uint32) {
	t := f.targets[target]
	t.arrivals = append(t.arrivals, f.now)
	o := Observation{Limit: t.limit, At: f.now}
	if _, report := r.limiter.Observe(f.now, target, o); !report {
		return
	}
	ids, byID := f.view(r)
	if owner := byID[fleet.Owner(fmt.Sprint("limit/", target), ids)]; f.reaches(r, owner) {
		owner.limiter.Observe(f.now, target, o)
	}
}

// run simulates d.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// check fails if a target that names a limit has got too many requests in some window. It
// returns the number of requests that the limited targets got in the last window, as a
// fraction of what their limits allow.
func (f *simFleet) check(t *testing.T) (used float64) {
	t.Helper()
	got, allowedSum := 0, 0.0
	for i, target := range f.targets {
		if !target.limit.Named {
			continue
		}
		allowed := limitFactor*target.limit.PerSecond*ruleWindow.Seconds() + limitSlack
		worst := 0
		for first, at := range target.arrivals {
			if at.Before(target.namedAt.Add(contact)) {
				continue
			}
			n := 0
			for _, later := range target.arrivals[first:] {
				if later.Sub(at) >= ruleWindow {
					break
				}
				n++
			}
			worst = max(worst, n)
		}
		if float64(worst) > allowed {
			t.Errorf("target %d: %d requests in %v for a limit of %.2g per second, at most %.0f may", i, worst, ruleWindow, target.limit.PerSecond, allowed)
		}
		for _, at := range target.arrivals {
			if f.now.Sub(at) <= ruleWindow {
				got++
			}
		}
		allowedSum += target.limit.PerSecond * ruleWindow.Seconds()
	}
	return float64(got) / max(allowedSum, 1)
}

func limit(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

func upTo(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// TestLimitIsKeptByAllRoutersTogether guards against targets that get more requests from all
// routers together than the limit that they name: while limits begin, change, end and come
// back, and while routers are cut off, killed, new, or lose messages.
func TestLimitIsKeptByAllRoutersTogether(t *testing.T) {
	split := func(f *simFleet, sides int) {
		f.changes++
		for i, r := range f.routers {
			r.side = i % sides
		}
	}
	kill := func(f *simFleet, from int) {
		f.changes++
		for _, r := range f.routers[from:] {
			r.running = false
		}
	}
	restart := func(f *simFleet, from int) {
		for _, r := range f.routers[from:] {
			f.restart(r)
		}
	}
	histories := map[string]func(f *simFleet, perSecond float64, named []int){
		"it begins": func(f *simFleet, perSecond float64, named []int) { f.run(15 * time.Second) },
		"it falls": func(f *simFleet, perSecond float64, named []int) {
			f.name(limit(4*perSecond), named...)
			f.run(6 * time.Second)
			f.name(limit(perSecond), named...)
			f.run(12 * time.Second)
		},
		"it ends and comes back": func(f *simFleet, perSecond float64, named []int) {
			f.run(5 * time.Second)
			f.name(Limit{}, named...)
			f.run(6 * time.Second)
			f.name(limit(perSecond), named...)
			f.run(12 * time.Second)
		},
		"the fleet is cut in two": func(f *simFleet, perSecond float64, named []int) {
			f.run(6 * time.Second)
			split(f, 2)
			f.run(15 * time.Second)
			split(f, 1)
			f.run(8 * time.Second)
		},
		"it begins while the fleet is cut in two": func(f *simFleet, perSecond float64, named []int) {
			f.name(Limit{}, named...)
			f.run(time.Second)
			split(f, 2)
			f.run(5 * time.Second)
			f.name(limit(perSecond), named...)
			f.run(12 * time.Second)
		},
		"no router reaches another": func(f *simFleet, perSecond float64, named []int) {
			f.run(6 * time.Second)
			split(f, len(f.routers))
			f.run(15 * time.Second)
		},
		"most routers are killed and come back": func(f *simFleet, perSecond float64, named []int) {
			for range 4 {
				f.run(3 * time.Second)
				kill(f, len(f.routers)/3)
				f.run(500 * time.Millisecond)
				restart(f, len(f.routers)/3)
			}
			f.run(5 * time.Second)
		},
		"cut in two, then most are killed and come back": func(f *simFleet, perSecond float64, named []int) {
			f.run(4 * time.Second)
			split(f, 2)
			f.run(4 * time.Second)
			kill(f, len(f.routers)/3)
			f.run(time.Second)
			restart(f, len(f.routers)/3)
			f.run(8 * time.Second)
		},
		"most leave": func(f *simFleet, perSecond float64, named []int) {
			f.run(5 * time.Second)
			kill(f, len(f.routers)/3)
			f.run(10 * time.Second)
		},
		"twice as many routers": func(f *simFleet, perSecond float64, named []int) {
			f.run(5 * time.Second)
			for range len(f.routers) {
				f.addRouter()
			}
			f.run(10 * time.Second)
		},
		"a tenth of the messages is lost": func(f *simFleet, perSecond float64, named []int) {
			f.lost = 0.1
			f.run(15 * time.Second)
		},
	}
	sites := []struct {
		routers, targets int
		perSecond        float64
	}{{6, 12, 91}, {300, 40, 300}}
	for _, site := range sites {
		for _, c := range []struct {
			named     string
			targets   []int
			perSecond float64
		}{
			{"one", []int{0}, 2},
			{"one, once in five seconds", []int{0}, 0.2},
			{"one, none at all", []int{0}, 0},
			{"most", upTo(site.targets * 2 / 3), 1.5},
			{"all", upTo(site.targets), 0.4 * site.perSecond / float64(site.targets)},
		} {
			for name, history := range histories {
				t.Run(fmt.Sprintf("%d routers/%s/%s", site.routers, c.named, name), func(t *testing.T) {
					f := newSimFleet(site.routers, site.targets, site.perSecond, testseedOf(name))
					f.run(2 * time.Second)
					f.name(limit(c.perSecond), c.targets...)
					history(f, c.perSecond, c.targets)
					f.check(t)
				})
			}
		}
	}
}

func testseedOf(name string) uint64 { return fleet.Hash(name) }

// TestLimitedTargetsAreUsed guards against limits that are kept by sending far less: callers
// press more than the targets take, and in calm times these get most of what they take. All
// that they can't take goes to the others, or is refused without a wait.
func TestLimitedTargetsAreUsed(t *testing.T) {
	const minUsed = 0.75
	for _, routers := range []int{6, 300} {
		f := newSimFleet(routers, 12, 91, uint64(routers))
		f.name(limit(2), upTo(6)...)
		f.run(12 * time.Second)
		if used := f.check(t); used < minUsed {
			t.Errorf("%d routers: the limited targets get %.2f of their limits, want at least %.2f", routers, used, minUsed)
		}
		if f.refused > 0 {
			t.Errorf("%d routers: %d requests were refused beside targets without a limit", routers, f.refused)
		}
		f.name(limit(2), upTo(12)...)
		f.run(12 * time.Second)
		if used := f.check(t); used < minUsed {
			t.Errorf("%d routers: with all targets limited, these get %.2f of their limits, want at least %.2f", routers, used, minUsed)
		}
	}
}

// TestPermitTraffic logs how many requests for permits a router sends at 300 routers, for
// CAPACITY.md: 112 of 160 targets name a limit of half of what they would get.
func TestPermitTraffic(t *testing.T) {
	const routers, perSecond = 300, 1236
	const length = 10 * time.Second
	f := newSimFleet(routers, 160, perSecond, 3)
	f.name(limit(0.5*perSecond/160), upTo(112)...)
	f.run(contact)
	f.asked, f.refused = 0, 0
	f.run(length)
	f.check(t)
	asks := float64(f.asked) / length.Seconds()
	if f.refused > 0 {
		t.Errorf("%d requests were refused beside targets without a limit", f.refused)
	}
	t.Logf("%.0f requests for permits per second, %.2f per router, for %d requests per second", asks, asks/routers, perSecond)
	if asks > 4*perSecond {
		t.Errorf("%.0f requests for permits per second, want at most 4 for each request", asks)
	}
}
