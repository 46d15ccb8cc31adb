package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/cost"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// costReplay is a load for the comparison of selections on 90 engines of 24 slots and 130 routers.
type costReplay struct {
	name string
	// noisy targets in 100 are 2.5 times slower, others of them each 600 ms; third makes a
	// third of the targets 1.3 times slower.
	noisy int
	third bool
	// hot is the fraction of requests that have prompts of one team; hints are wrong by up to
	// a factor of eight; false reports have a random pace.
	hot                     float64
	wrongHints, falseReport bool
	reportDelayMs           int // added to the usual delay of reports
	seconds                 int
}

// costResult counts, in 100 requests, those with a late first event, a late pause and either, and
// those over the platform's bound; reread are the shared tokens read again, in 100.
type costResult struct {
	first, gap, late, reread, over float64
}

// job is one request at a simulated engine.
type job struct {
	r            Request
	unread, left int
	sent, last   int // ms; last is the time of the last event
	sinceEvent   int
	done         func()
	gapLate      bool
	firstEvent   func()
}

// simEngine runs up to 24 jobs in steps: each reads up to 2,000 tokens of one prompt and
// generates a token for every job whose prompt is read.
type simEngine struct {
	jobs []*job
	free float64
	pace float64
	// cached holds the shared parts that were read.
	cached map[string]bool
}

type costPolicy struct {
	name   string
	choose func(key string, all []*candidate, rng *rand.Rand) *candidate
}

var costPolicies = []costPolicy{
	{"bounded-load hashing", func(key string, all []*candidate, _ *rand.Rand) *candidate {
		for _, c := range all {
			c.expected = nil
		}
		return selectByPromptKey(key, all).target
	}},
	{"cost inside it", func(key string, all []*candidate, _ *rand.Rand) *candidate {
		return selectByPromptKey(key, all).target
	}},
	{"least outstanding work", func(key string, all []*candidate, _ *rand.Rand) *candidate {
		return slices.MinFunc(all, func(a, b *candidate) int { return int(a.expected.first - b.expected.first) })
	}},
	{"two choices by cost", func(key string, all []*candidate, _ *rand.Rand) *candidate {
		ranked := rankByKey(key, all)
		if ranked[1].expected.delay(1) < ranked[0].expected.delay(0) {
			return ranked[1]
		}
		return ranked[0]
	}},
	{"join-idle-queue", func(key string, all []*candidate, rng *rand.Rand) *candidate {
		if i := slices.IndexFunc(all, func(c *candidate) bool { return c.inFlight < c.capacity/4 }); i >= 0 {
			return all[i]
		}
		return all[rng.IntN(len(all))]
	}},
}

// centre returns the data centre of a router or target: two thirds are in the first one.
func centre(i int) string { return []string{"dc1", "dc1", "dc2"}[i%3] }

// arrival returns when a report of the given time is known to all routers. The router that saw it
// sends it to the collectors at once, and those send it on each 150 ms.
func (c costReplay) arrival(at int) int {
	const interval = 150
	return at + 10 + interval - at%interval + c.reportDelayMs
}

// run replays the load with a selection. Each router knows the counts of the others as of up to
// 200 ms ago, and the reports of targets by arrival. All routers share one estimator.
func (c costReplay) run(p costPolicy) costResult {
	const routers, engines, slots, warmup = 130, 90, 24, 2
	rng := rand.New(rand.NewPCG(3, 14))
	noise := rand.New(rand.NewPCG(15, 9))
	view := newView(engines)
	sims := make([]*simEngine, engines)
	var all []*candidate
	speeds := make([]float64, engines)
	for i := range sims {
		speeds[i] = 1
		if c.third && i%3 == 0 {
			speeds[i] = 1.3
		}
		sims[i] = &simEngine{pace: speeds[i], cached: make(map[string]bool)}
		view.targets[i].DataCentre = centre(i)
		all = append(all, &candidate{status: view.targets[i], healthy: true, capacity: slots})
	}
	index := make(map[*pb.TargetStatus]int)
	for i, st := range view.targets {
		index[st] = i
	}
	var estimator cost.Estimator
	var paces cost.Paces
	reports, unusual := make(map[int][]cost.Report), make([]bool, engines)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	counts, seen, own := make([]int, engines), make([]int, engines), make([][]int, routers)
	ownSeen := make([][]int, routers)
	for i := range own {
		own[i], ownSeen[i] = make([]int, engines), make([]int, engines)
	}
	var res costResult
	requests, live, shared, reread := 0, 0, 0, 0
	known := make(map[string]bool)
	for ms := range (c.seconds + warmup) * 1000 {
		now := at(ms)
		counted := ms >= warmup*1000
		if ms%600 == 0 {
			for i, s := range sims {
				s.pace = speeds[i]
				if noise.IntN(100) < c.noisy {
					s.pace *= 2.5
				}
			}
		}
		if ms%200 == 0 {
			copy(seen, counts)
			for i := range own {
				copy(ownSeen[i], own[i])
			}
		}
		for _, r := range reports[ms] {
			paces.Learn(now, r)
		}
		delete(reports, ms)
		// One request per ms in the mean, in bursts.
		for rng.Float64() < 0.5 {
			r := c.request(rng)
			router := rng.IntN(routers)
			work := estimator.Work(r.Cost)
			rng.Shuffle(engines, func(i, j int) { all[i], all[j] = all[j], all[i] })
			for _, cand := range all {
				i := index[cand.status]
				cand.inFlight = max(0, seen[i]-ownSeen[router][i]) + own[router][i]
				pace := paces.Pace(now, uint32(i+1))
				cand.expected = &expectation{pace: pace, first: scale(estimator.Wait(cand.inFlight)+work.Read, pace), reread: scale(work.Reread, pace), goal: r.Goal}
			}
			slices.SortStableFunc(all, func(a, b *candidate) int { return distance(a, centre(router)) - distance(b, centre(router)) })
			cand := p.choose(r.Key, all, rng)
			i := index[cand.status]
			s := sims[i]
			if counted {
				requests++
				shared += r.Cost.SharedTokens
				if float64(counts[i]) > 2*float64(live)/engines+3 {
					res.over++
				}
			}
			j := &job{r: r, unread: r.Cost.PromptTokens - r.Cost.SharedTokens, left: int(20 + 130*rng.ExpFloat64()), sent: ms, last: -1}
			uncached := !s.cached[r.Key]
			if uncached {
				if known[r.Key] && counted {
					reread += r.Cost.SharedTokens
				}
				j.unread += r.Cost.SharedTokens
			}
			s.cached[r.Key], known[r.Key] = true, true
			inFlight, pace := counts[i], s.pace
			counts[i]++
			own[router][i]++
			live++
			first := 0
			j.firstEvent = func() {
				first = j.last - j.sent
				if counted && time.Duration(first)*time.Millisecond > r.Goal {
					res.first++
				}
				percent := int(100 * s.pace)
				if c.falseReport && i%10 == 0 {
					percent = 50 + noise.IntN(400)
				}
				if wasUnusual := unusual[i]; percent < 120 && !wasUnusual {
					return
				}
				unusual[i] = percent >= 120
				due := c.arrival(j.last)
				reports[due] = append(reports[due], cost.Report{Target: uint32(i + 1), Percent: percent, At: at(j.last)})
			}
			j.done = func() {
				counts[i]--
				own[router][i]--
				live--
				if counted && j.gapLate {
					res.gap++
				}
				if counted && (j.gapLate || time.Duration(first)*time.Millisecond > r.Goal) {
					res.late++
				}
				estimator.Observe(r.Cost, cost.Observation{FirstEvent: time.Duration(first) * time.Millisecond, Run: at(j.last).Sub(at(j.sent + first)), InFlight: inFlight, Pace: pace, Uncached: uncached})
			}
			s.jobs = append(s.jobs, j)
		}
		for _, s := range sims {
			s.advance(float64(ms), slots)
		}
	}
	res.reread = 100 * float64(reread) / float64(shared)
	for _, n := range []*float64{&res.first, &res.gap, &res.late, &res.over} {
		*n *= 100 / float64(requests)
	}
	return res
}

// request draws a request of one of 900 sessions whose prompts have 130 to 11,800 tokens.
func (c costReplay) request(rng *rand.Rand) Request {
	session := rng.IntN(900)
	team := "usual"
	if rng.Float64() < c.hot {
		session, team = 900+rng.IntN(20), "hot"
	}
	sharedTokens := []int{0, 600, 1700, 5200, 8000}[session%5]
	own := 130 + int(math.Min(3670, 600*rng.ExpFloat64()))
	if rng.IntN(14) == 0 {
		own = 3800 + rng.IntN(8000-sharedTokens+1)
	}
	hint := 150
	if c.wrongHints {
		hint = int(150 * math.Pow(8, 2*rng.Float64()-1))
	}
	return Request{Key: fmt.Sprint("s", session), Goal: 300 * time.Millisecond,
		Cost: cost.Request{Route: "chat", Team: team, PromptTokens: own + sharedTokens, SharedTokens: sharedTokens, Hint: hint}}
}

// advance runs the steps that begin before the given time.
func (s *simEngine) advance(ms float64, slots int) {
	const chunk, readPerMs, eventTokens = 2000, 61.0, 11
	s.free = max(s.free, ms-1)
	for s.free < ms && len(s.jobs) > 0 {
		running := s.jobs[:min(slots, len(s.jobs))]
		read := 0
		for _, j := range running {
			n := min(j.unread, chunk-read)
			j.unread -= n
			read += n
		}
		s.free += s.pace * (2.2 + 0.05*float64(len(running)) + float64(read)/readPerMs)
		end := int(s.free)
		for _, j := range running {
			if j.unread > 0 {
				continue
			}
			j.left--
			j.sinceEvent++
			if j.last >= 0 && j.sinceEvent < eventTokens && j.left > 0 {
				continue
			}
			j.gapLate = j.gapLate || j.last >= 0 && end-j.last > 300
			fresh := j.last < 0
			j.last, j.sinceEvent = end, 0
			if fresh {
				j.firstEvent()
			}
			if j.left <= 0 {
				j.done()
			}
		}
		s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool { return j.left <= 0 })
	}
}

var costReplays = []costReplay{
	{name: "usual paces"},
	{name: "noisy targets", noisy: 15},
	{name: "a third 1.3x slower", third: true},
	{name: "noisy, hot team", noisy: 15, hot: 0.3},
	{name: "noisy, wrong hints", noisy: 15, wrongHints: true},
	{name: "noisy, false reports", noisy: 15, falseReport: true},
	{name: "noisy, old reports", noisy: 15, reportDelayMs: 1500},
}

// BenchmarkCompareSelections logs the table of docs/design/cost.md.
func BenchmarkCompareSelections(b *testing.B) {
	for _, c := range costReplays {
		c.seconds = 20
		for _, p := range costPolicies {
			b.Run(c.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					r := c.run(p)
					b.Logf("| %s | %s | %.2f | %.2f | %.2f | %.1f | %.2f |", c.name, p.name, r.first, r.gap, r.late, r.reread, r.over)
				}
			})
		}
	}
}

// TestCostLowersLateResponses guards against a selection by cost that does not help where targets
// are noisy, or that does harm where paces are usual or reports are false or old.
func TestCostLowersLateResponses(t *testing.T) {
	for i, most := range map[int]float64{0: 1.05, 1: 0.85, 5: 1.05, 6: 1.05} {
		c := costReplays[i]
		c.seconds = 8
		before, after := c.run(costPolicies[0]), c.run(costPolicies[1])
		t.Logf("%s: late %.2f%%, by cost %.2f%%; over the platform's bound %.2f%% and %.2f%%", c.name, before.late, after.late, before.over, after.over)
		if after.late > most*before.late || after.over > 3 {
			t.Errorf("%s: late %.2f%%, by cost %.2f%%, of which %.2f%% are over the bound", c.name, before.late, after.late, after.over)
		}
	}
}
